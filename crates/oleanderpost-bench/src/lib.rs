//! Fakes at the border traits, and experiments that measure what control costs a node.
//!
//! A [`Fleet`] joins real [`Convergence`](oleanderpost_config::Convergence) objects over a [`Network`]
//! in memory and a [`FakePlatform`] that serves files. Tests bring faults about with it; the programs under
//! `examples/` measure with it.

mod fake_platform;
mod fleet;
mod network;
mod process_usage;
mod sample_fleet_file;

pub use crate::{
    fake_platform::FakePlatform,
    fleet::{Fleet, FleetBuilder},
    network::Network,
    process_usage::ProcessUsage,
    sample_fleet_file::SampleFleetFile,
};
