//! Control traffic, read from the instances' metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ureq::Agent;

use crate::Error;

/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Name of the counter of bytes sent to peers, by slice.
const BYTES_METRIC: &str = "peer_bytes_total{";

/// Bytes sent by slice, over all instances that answered.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    at: Instant,
    instances: usize,
    bytes: BTreeMap<String, f64>,
}

fn label(line: &str) -> Option<&str> {
    line.split_once("slice=\"")?.1.split_once('"').map(|(slice, _)| slice)
}

/// Reads the traffic of the instances with these operators' addresses.
pub(crate) fn read(operators: &[SocketAddr]) -> Result<Traffic, Error> {
    let agent = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
    let agent = agent.new_agent();
    let mut traffic = Traffic { at: Instant::now(), instances: 0, bytes: BTreeMap::new() };
    for address in operators {
        let url = format!("http://{address}/metrics");
        let text = agent
            .get(&url)
            .call()
            .and_then(|mut response| response.body_mut().read_to_string())
            .map_err(|error| Error::Unreachable { url, problem: error.to_string() })?;
        traffic.instances += 1;
        traffic.add(&text);
    }
    Ok(traffic)
}

impl Traffic {
    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| line.contains(BYTES_METRIC)) {
            let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
            if let (Some(slice), Some(value)) = (label(line), value) {
                *self.bytes.entry(slice.to_string()).or_default() += value;
            }
        }
    }

    /// Bytes a second and instance by slice since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> BTreeMap<String, f64> {
        let seconds = (self.at - earlier.at).as_secs_f64().max(f64::MIN_POSITIVE);
        let nodes = self.instances.max(1) as f64;
        let rate = |(slice, bytes): (&String, &f64)| {
            let before = earlier.bytes.get(slice).copied().unwrap_or_default();
            (slice.clone(), (bytes - before).max(0.0) / seconds / nodes)
        };
        self.bytes.iter().map(rate).collect()
    }
}
