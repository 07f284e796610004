//! Volume of control traffic between instances, read from their metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ureq::Agent;

use crate::Error;

/// Time within which an instance must respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// End of the name of the counter of bytes sent to peers, which has the label `slice`.
const SENT_BYTES_METRIC: &str = "peer_bytes_total{";

/// Bytes sent to peers by slice, summed over all instances, at one time.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    read_at: Instant,
    instances: usize,
    bytes_by_slice: BTreeMap<String, f64>,
}

/// Returns the value of the label `slice` of a line of metrics.
fn slice_label(line: &str) -> Option<&str> {
    line.split_once("slice=\"")?.1.split_once('"').map(|(slice, _)| slice)
}

/// Reads the traffic of the instances whose operator interfaces listen on `operators`.
pub(crate) fn read_traffic(operators: &[SocketAddr]) -> Result<Traffic, Error> {
    let agent = Agent::config_builder().proxy(None).timeout_global(Some(REQUEST_TIMEOUT)).build();
    let agent = agent.new_agent();
    let mut traffic =
        Traffic { read_at: Instant::now(), instances: 0, bytes_by_slice: BTreeMap::new() };
    for address in operators {
        let url = format!("http://{address}/metrics");
        let metrics = agent
            .get(&url)
            .call()
            .and_then(|mut response| response.body_mut().read_to_string())
            .map_err(|error| Error::Unreachable { url, problem: error.to_string() })?;
        traffic.instances += 1;
        traffic.add_metrics(&metrics);
    }
    Ok(traffic)
}

impl Traffic {
    fn add_metrics(&mut self, metrics: &str) {
        for line in metrics.lines().filter(|line| line.contains(SENT_BYTES_METRIC)) {
            let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
            if let (Some(slice), Some(value)) = (slice_label(line), value) {
                *self.bytes_by_slice.entry(slice.to_string()).or_default() += value;
            }
        }
    }

    /// Returns bytes per second and instance since `earlier`, by slice.
    pub(crate) fn rates_since(&self, earlier: &Self) -> BTreeMap<String, f64> {
        let seconds = (self.read_at - earlier.read_at).as_secs_f64().max(f64::MIN_POSITIVE);
        let instances = self.instances.max(1) as f64;
        let rate = |(slice, bytes): (&String, &f64)| {
            let earlier_bytes = earlier.bytes_by_slice.get(slice).copied().unwrap_or_default();
            (slice.clone(), (bytes - earlier_bytes).max(0.0) / seconds / instances)
        };
        self.bytes_by_slice.iter().map(rate).collect()
    }
}
