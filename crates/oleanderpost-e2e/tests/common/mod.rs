//! Starts the built programs as processes and sends requests to them.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]

mod caller;
mod evidence;
mod fleet;
mod http;
mod process;
mod stream_result;

pub(crate) use self::{
    caller::{Answer, Caller, completion},
    evidence::{
        evidence, key_run_count, run_count, set_faults, stream_count, wait_nothing_held,
        wait_streams,
    },
    fleet::{Fleet, TOKEN, Upstream},
    http::{Reply, send_request},
    process::Process,
    stream_result::{
        ANSWER_MARGIN, StreamResult, TIME_LIMIT, book, booking_count, join_streams, start_streams,
        stream, stream_with_key, wait_booking, wait_serving,
    },
};
