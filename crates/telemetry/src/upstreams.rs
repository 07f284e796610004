//! Metrics of single upstreams, which come and go.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// What an owner knows of one of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owned {
    /// Permits that are in use.
    pub in_flight: u32,
    /// Most permits by the load bound, as it was computed for the last request.
    pub bound: u32,
    /// Requests that wait for a permit.
    pub waiting: u32,
}

/// What an instance knows of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSample {
    /// Its name.
    pub upstream: String,
    /// Prompt blocks that it found in its cache, by its report.
    pub cached_blocks: u64,
    /// Prompt blocks that it computed, by its report.
    pub computed_blocks: u64,
    /// What is known of it if this instance owns it.
    pub owned: Option<Owned>,
}

/// The latest samples of all upstreams that are not gone.
#[derive(Debug, Clone, Default)]
pub struct UpstreamMetrics {
    samples: Arc<Mutex<Vec<UpstreamSample>>>,
}

impl UpstreamMetrics {
    /// Replaces the samples.
    pub fn set(&self, samples: Vec<UpstreamSample>) {
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = samples;
    }

    fn get(&self) -> Vec<UpstreamSample> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn encode_owned(
    encoder: &mut DescriptorEncoder<'_>,
    samples: &[UpstreamSample],
    name: &str,
    help: &str,
    value: fn(Owned) -> u32,
) -> Result<(), fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    for sample in samples {
        let Some(owned) = sample.owned else {
            continue;
        };
        let labels = [("upstream", sample.upstream.as_str())];
        ConstGauge::new(i64::from(value(owned))).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

fn encode_reported(
    encoder: &mut DescriptorEncoder<'_>,
    samples: &[UpstreamSample],
    name: &str,
    help: &str,
    value: fn(&UpstreamSample) -> u64,
) -> Result<(), fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for sample in samples {
        let labels = [("upstream", sample.upstream.as_str())];
        ConstCounter::new(value(sample)).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

impl Collector for UpstreamMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let (encoder, samples) = (&mut encoder, self.get());
        let help = "Permits in use at the owner";
        encode_owned(encoder, &samples, "upstream_in_flight", help, |owned| owned.in_flight)?;
        let help = "Most permits by the load bound at the owner";
        encode_owned(encoder, &samples, "upstream_bound", help, |owned| owned.bound)?;
        let help = "Requests that wait for a permit at the owner";
        encode_owned(encoder, &samples, "upstream_waiting", help, |owned| owned.waiting)?;
        let help = "Prompt blocks found in the cache, by the upstream's report";
        encode_reported(encoder, &samples, "upstream_cached_blocks", help, |sample| {
            sample.cached_blocks
        })?;
        let help = "Prompt blocks computed, by the upstream's report";
        encode_reported(encoder, &samples, "upstream_computed_blocks", help, |sample| {
            sample.computed_blocks
        })
    }
}
