//! Stand-ins of the platform for the scripts of the review, and the cases themselves.
//!
//! `standin-3 CASE FOLDER` runs a case, with `record.txt` in that folder. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` in the environment, it leaves the disruption out.

mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod engine;
mod http;
mod node;
mod platform;
mod record;
mod store;

use std::{env, fs, path::Path, process};

use record::Record;

/// Ends the run of a case that can't be judged. The processes of the nodes end with the unwinding.
pub fn cannot_run(cause: &str) -> ! {
    panic!("the case can't run: {cause}");
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let dir = env::temp_dir().join(format!("oleanderpost-review-3-{}", process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let run = match case.as_str() {
        "11" => case_11::run,
        "12" => case_12::run,
        "13" => case_13::run,
        "14" => case_14::run,
        "15" => case_15::run,
        _ => {
            eprintln!("no case {case}");
            process::exit(2);
        }
    };
    let result = std::panic::catch_unwind(|| run(&dir, &record, has_trouble));
    if env::var_os("KEEP_LOGS").is_none() {
        // A folder that is left behind does no harm.
        let _ = fs::remove_dir_all(&dir);
    } else {
        println!("logs in {}", dir.display());
    }
    match result {
        Ok(false) => println!("held"),
        Ok(true) => {
            println!("BROKEN");
            process::exit(1);
        }
        Err(_) => process::exit(2),
    }
}
