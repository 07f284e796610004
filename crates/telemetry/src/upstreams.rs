//! Metrics of individual upstreams. Upstreams join and leave, so their metrics are collected from
//! the latest samples at each scrape.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// Sample of the permits of an upstream, as counted by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSample {
    /// Number of permits in use.
    pub in_flight: u32,
    /// Maximum number of permits according to the load bound, as computed for the last request.
    pub bound: u32,
    /// Number of requests that wait for a permit.
    pub waiting: u32,
}

/// Metrics of one upstream at one point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSample {
    /// Name of the upstream.
    pub upstream: String,
    /// Number of prompt blocks found in the cache of the upstream, according to its load report.
    pub cached_blocks: u64,
    /// Number of prompt blocks that the upstream computed, according to its load report.
    pub computed_blocks: u64,
    /// Permits of the upstream, if this instance is its owner.
    pub owned: Option<OwnerSample>,
}

/// Latest samples of all upstreams that are not gone.
#[derive(Debug, Clone, Default)]
pub struct UpstreamMetrics {
    samples: Arc<Mutex<Vec<UpstreamSample>>>,
}

impl UpstreamMetrics {
    /// Replaces all samples.
    pub fn set(&self, samples: Vec<UpstreamSample>) {
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = samples;
    }

    fn get(&self) -> Vec<UpstreamSample> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn encode_owner_gauge(
    encoder: &mut DescriptorEncoder<'_>,
    samples: &[UpstreamSample],
    name: &str,
    help: &str,
    value_of: fn(OwnerSample) -> u32,
) -> Result<(), fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    for sample in samples {
        let Some(owned) = sample.owned else {
            continue;
        };
        let labels = [("upstream", sample.upstream.as_str())];
        ConstGauge::new(i64::from(value_of(owned))).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

fn encode_report_counter(
    encoder: &mut DescriptorEncoder<'_>,
    samples: &[UpstreamSample],
    name: &str,
    help: &str,
    value_of: fn(&UpstreamSample) -> u64,
) -> Result<(), fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for sample in samples {
        let labels = [("upstream", sample.upstream.as_str())];
        ConstCounter::new(value_of(sample)).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

impl Collector for UpstreamMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let (encoder, samples) = (&mut encoder, self.get());
        let help = "Permits in use at the owner";
        encode_owner_gauge(encoder, &samples, "upstream_in_flight", help, |owned| owned.in_flight)?;
        let help = "Most permits by the load bound at the owner";
        encode_owner_gauge(encoder, &samples, "upstream_bound", help, |owned| owned.bound)?;
        let help = "Requests that wait for a permit at the owner";
        encode_owner_gauge(encoder, &samples, "upstream_waiting", help, |owned| owned.waiting)?;
        let help = "Prompt blocks found in the cache, by the upstream's report";
        encode_report_counter(encoder, &samples, "upstream_cached_blocks", help, |sample| {
            sample.cached_blocks
        })?;
        let help = "Prompt blocks computed, by the upstream's report";
        encode_report_counter(encoder, &samples, "upstream_computed_blocks", help, |sample| {
            sample.computed_blocks
        })
    }
}
