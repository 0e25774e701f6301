//! [`ProcessMetrics`].

use std::fmt;

use procfs::{ProcResult, process::Process};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
};

/// Collector of the process's CPU time and resident memory, read from `/proc` at each scrape.
#[derive(Debug)]
pub(crate) struct ProcessMetrics;

struct Usage {
    cpu_s: f64,
    resident_bytes: i64,
}

impl Usage {
    fn read() -> ProcResult<Self> {
        let stat = Process::myself()?.stat()?;
        let ticks = (stat.utime + stat.stime) as f64;
        let resident = stat.rss * procfs::page_size();
        Ok(Self {
            cpu_s: ticks / procfs::ticks_per_second() as f64,
            resident_bytes: i64::try_from(resident).unwrap_or(i64::MAX),
        })
    }
}

impl Collector for ProcessMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let Ok(usage) = Usage::read() else {
            return Ok(());
        };
        let help = "Processor time of the process in seconds";
        let name = "process_cpu_seconds";
        let metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        ConstCounter::new(usage.cpu_s).encode(metric)?;
        let help = "Resident memory of the process in bytes";
        let name = "process_resident_bytes";
        let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
        ConstGauge::new(usage.resident_bytes).encode(metric)
    }
}
