//! CPU time that one change of a fleet file takes on a node, by operation and file size.
//!
//! In the column names, `whole` is a payload with the full content, `step` a payload that is compressed against
//! the previous generation, `derived` the parsing of the file and `open` the decompression of a `step` payload.

use std::time::{Duration, Instant};

use clap::Parser;
use oleanderpost_bench::SampleFleetFile;
use oleanderpost_config::{Check, ContentHash, FleetFile, Payload, Snapshot};

#[derive(Clone, Copy, Debug, Parser)]
struct Args {
    /// Repetitions of each operation; the median is printed.
    #[arg(long, default_value_t = 15)]
    repeat: usize,
}

fn main() {
    let args = Args::parse();
    println!(
        "bytes check_ms derived_ms step_ms step_bytes whole_ms whole_bytes open_ms snapshot_ms"
    );
    for (upstreams, accounts) in [(50, 0), (290, 120), (725, 300), (1450, 600), (2900, 1200)] {
        measure(
            SampleFleetFile {
                upstreams,
                accounts,
            },
            args.repeat,
        );
    }
}

fn measure(sample: SampleFleetFile, repeat: usize) {
    let (old, new) = (sample.text(1), sample.text(2));
    let (old_hash, new_hash) = (
        ContentHash::of_content(old.as_bytes()),
        ContentHash::of_content(new.as_bytes()),
    );
    let compress_full = || Payload::compress(new_hash, &new).expect("the content compresses");
    let compress_delta = || {
        Payload::compress_with_base(new_hash, &new, old_hash, &old).expect("the content compresses")
    };
    let delta = compress_delta();
    let file = FleetFile::from_yaml(new.as_bytes()).expect("the sample file is valid");
    let parse = || serde_saphyr::from_str::<FleetFile>(&new).is_ok();
    println!(
        "{} {:.2} {:.2} {:.2} {} {:.2} {} {:.2} {:.2}",
        new.len(),
        millis(repeat, || Check::new(new.as_bytes())),
        millis(repeat, parse),
        millis(repeat, compress_delta),
        delta.data.as_slice().len(),
        millis(repeat, compress_full),
        compress_full().data.as_slice().len(),
        millis(repeat, || delta
            .decompress(Some(&old))
            .expect("the payload decompresses")),
        millis(repeat, || Snapshot::from_files([&file])),
    );
}

/// Returns the median time of an operation, in milliseconds.
fn millis<T>(repeat: usize, operation: impl Fn() -> T) -> f64 {
    let mut times: Vec<Duration> = (0..repeat)
        .map(|_| {
            let start = Instant::now();
            let result = operation();
            let time = start.elapsed();
            drop(result);
            time
        })
        .collect();
    times.sort();
    times[repeat / 2].as_secs_f64() * 1000.0
}
