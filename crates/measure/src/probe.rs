//! Time to the first token through the relay and of a direct call to a stand-in, side by side.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::client::{Call, agent, send};
use crate::group::histogram;
use crate::scenario::Scenario;
use crate::{Error, prompt};

/// Pairs of calls, one through the relay and one direct.
const PAIRS: u64 = 200;

/// Pairs at the start that are not counted, in which connections are made.
const WARM_UP: u64 = 20;

/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Bytes of a prompt: less than a block, so that no cache changes the time.
const PROMPT_BYTES: u32 = 16;

/// Time to the first token, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Added {
    /// Median of direct calls.
    pub direct_p50: u64,
    /// 99th percentile of direct calls.
    pub direct_p99: u64,
    /// Median through the relay.
    pub relayed_p50: u64,
    /// 99th percentile through the relay.
    pub relayed_p99: u64,
}

impl Added {
    /// What the relay adds to the 99th percentile, in microseconds.
    pub fn p99(&self) -> u64 {
        self.relayed_p99.saturating_sub(self.direct_p99)
    }

    /// What the relay adds to the median, in microseconds.
    pub fn p50(&self) -> u64 {
        self.relayed_p50.saturating_sub(self.direct_p50)
    }
}

/// Calls a stand-in directly and through an instance, in turn, on an otherwise idle fleet.
pub(crate) fn probe(
    scenario: &Scenario,
    caller: SocketAddr,
    stand_in: SocketAddr,
    seed: u64,
) -> Result<Added, Error> {
    let agent = agent();
    let work = &scenario.work[0];
    let key = scenario.accounts[0].key.as_str();
    let mut direct = histogram()?;
    let mut relayed = histogram()?;
    for pair in 0..WARM_UP + PAIRS {
        let conversation = (seed << 32) | (1 << 31) | pair;
        let body = prompt::body(work.service.as_str(), conversation, 0, PROMPT_BYTES, 1);
        for (address, histogram) in [(stand_in, &mut direct), (caller, &mut relayed)] {
            let started = Instant::now();
            let call = Call {
                address,
                key,
                kind: work.kind.as_str(),
                conversation,
                body: &body,
                deadline: started + PATIENCE,
            };
            if let Some(first) = send(&agent, &call).first_token
                && pair >= WARM_UP
            {
                histogram.saturating_record((first - started).as_micros() as u64);
            }
        }
    }
    Ok(Added {
        direct_p50: direct.value_at_quantile(0.5),
        direct_p99: direct.value_at_quantile(0.99),
        relayed_p50: relayed.value_at_quantile(0.5),
        relayed_p99: relayed.value_at_quantile(0.99),
    })
}
