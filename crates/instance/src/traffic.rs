//! Metrics of the traffic between this instance and its peers.

use std::fmt;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use strum::IntoEnumIterator;
use wire::{Count, Slice, Traffic};

/// Collector that reads the traffic counters on each scrape of the metrics.
#[derive(Debug)]
pub struct TrafficCollector {
    traffic: Arc<Traffic>,
}

impl TrafficCollector {
    /// Returns a collector that exports the counters of `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self { traffic }
    }

    fn encode_sent<F>(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: F,
    ) -> Result<(), fmt::Error>
    where
        F: Fn(Count) -> u64,
    {
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for slice in Slice::iter() {
            let labels = [("slice", slice.to_string())];
            let count = ConstCounter::new(value(self.traffic.sent(slice)));
            count.encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_total(
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: u64,
    ) -> Result<(), fmt::Error> {
        let metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        ConstCounter::new(value).encode(metric)
    }
}

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let encoder = &mut encoder;
        self.encode_sent(encoder, "peer_bytes", "Bytes sent to peers", |count| count.bytes)?;
        self.encode_sent(encoder, "peer_frames", "Frames sent to peers", |count| count.frames)?;
        let traffic = &self.traffic;
        Self::encode_total(
            encoder,
            "peer_frames_dropped",
            "Frames dropped because the peer was unreachable or its queue full",
            traffic.dropped(),
        )?;
        Self::encode_total(
            encoder,
            "peer_frames_refused",
            "Frames refused as forged, replayed, malformed or misdirected",
            traffic.refused(),
        )
    }
}
