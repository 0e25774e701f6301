//! Stand-ins and scenarios of the scripts in `review/6` to `review/10`: the platform's store, its balancer and process
//! control, engines, and clients, as the users' pages describe them. Standard library only; loopback addresses only.
//!
//! Usage: `standin CASE RECORD`, from the root of the repository. `TROUBLE=0` leaves the disruption out.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod engine;
mod http;
mod platform;
mod record;
mod store;

mod endless_answer;
mod revoked_key;

use std::{env, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("can't write the record: {e}");
            exit(2);
        }
    };
    let broken = match case.as_str() {
        "revoked-key" => revoked_key::run(&record, trouble),
        "endless-answer" => endless_answer::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match broken {
        Ok(false) => {
            record.line("verdict: the rule held");
            exit(0);
        }
        Ok(true) => {
            record.line("verdict: the rule was broken");
            exit(1);
        }
        Err(e) => {
            record.line(&format!("verdict: the case couldn't run: {e}"));
            exit(2);
        }
    }
}
