//! [`ControlMetrics`].

use std::{fmt, sync::Arc};

use oleanderpost::{
    claims::Claims,
    config::Convergence,
    peers::{LinkCounters, Links, Roster},
};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder},
    metrics::{MetricType, counter::ConstCounter},
};

use crate::PeerMessage;

/// Collector of the counters of links, roster, configuration and claims, read at each scrape.
pub(crate) struct ControlMetrics {
    pub(crate) links: Links<PeerMessage>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) convergence: Convergence,
    pub(crate) claims: Arc<Claims>,
}

/// Encodes a counter without labels.
fn encode_counter(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> fmt::Result {
    let metric = ConstCounter::new(value);
    let encoder = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    metric.encode(encoder)
}

/// Encodes a counter with a label `kind` and one value per kind of message.
fn encode_by_kind(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    values: &[(&'static str, u64)],
) -> fmt::Result {
    let mut family: MetricEncoder<'_> =
        encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for (kind, value) in values {
        let labels = [("kind", *kind)];
        let metric = ConstCounter::new(*value);
        metric.encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

impl ControlMetrics {
    fn encode_links(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        links: &LinkCounters,
    ) -> fmt::Result {
        let kinds = &links.kinds;
        let values = |value: fn(&oleanderpost::peers::KindCounters) -> u64| -> Vec<_> {
            kinds.iter().map(|(kind, c)| (*kind, value(c))).collect()
        };
        let help = "Encoded bytes of messages sent to peers, by part";
        encode_by_kind(
            encoder,
            "control_sent_bytes",
            help,
            &values(|c| c.sent_bytes),
        )?;
        let help = "Messages sent to peers, by part";
        encode_by_kind(encoder, "control_sent", help, &values(|c| c.sent))?;
        let help = "Encoded bytes of messages received from peers, by part";
        let received = values(|c| c.received_bytes);
        encode_by_kind(encoder, "control_received_bytes", help, &received)?;
        let help = "Messages received from peers, by part";
        encode_by_kind(encoder, "control_received", help, &values(|c| c.received))?;
        let help = "Bytes written to links, headers included";
        encode_counter(encoder, "link_sent_bytes", help, links.bytes_out)?;
        let help = "Bytes read from links, headers included";
        encode_counter(encoder, "link_received_bytes", help, links.bytes_in)?;
        let help = "Connections to peers that could not be opened";
        encode_counter(encoder, "link_dial_failures", help, links.dial_failures)?;
        let help = "Links given up because they went silent";
        encode_counter(encoder, "link_silent", help, links.silent)
    }

    fn encode_platform(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let config = self.convergence.counters();
        let roster = self.roster.counters();
        let help = "Reads of the configuration service, a waiting watch as one";
        encode_counter(encoder, "config_reads", help, config.source_reads)?;
        let help = "Reads of the configuration service that failed";
        let failed = config.failed_source_reads;
        encode_counter(encoder, "config_read_failures", help, failed)?;
        let help = "Changes of the configuration in force";
        encode_counter(encoder, "config_changes", help, config.changes)?;
        let help = "Reads of the VM list, a waiting watch as one";
        encode_counter(encoder, "vm_list_reads", help, roster.reads)?;
        let help = "Reads of the VM list that failed";
        encode_counter(encoder, "vm_list_read_failures", help, roster.read_failures)?;
        let help = "Pauses of this process";
        encode_counter(encoder, "pauses", help, roster.pauses)
    }

    fn encode_claims(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let claims = self.claims.dump().counters;
        let help = "Claims of request keys granted to this node";
        encode_counter(encoder, "claims_granted", help, claims.claims_granted)?;
        let help = "Claims refused because another try has the key";
        encode_counter(encoder, "claims_taken", help, claims.claims_taken)?;
        let help = "Claims refused for want of a majority of witnesses";
        let value = claims.claims_without_majority;
        encode_counter(encoder, "claims_without_majority", help, value)
    }
}

impl Collector for ControlMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        self.encode_links(&mut encoder, &self.links.counters())?;
        self.encode_platform(&mut encoder)?;
        self.encode_claims(&mut encoder)
    }
}

impl fmt::Debug for ControlMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlMetrics").finish_non_exhaustive()
    }
}
