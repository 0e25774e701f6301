//! Fakes of the platform and the network for `oleanderpost-config`, and benchmarks of what the control plane
//! costs a node.
//!
//! A [`Fleet`] connects real [`Convergence`](oleanderpost_config::Convergence) objects over a [`Network`]
//! in memory and a [`FakePlatform`] that serves files. Tests use it to inject faults; some of the programs
//! under `examples/` use it for measurements.

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
