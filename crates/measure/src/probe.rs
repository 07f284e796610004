//! Compares the time to the first token of calls through an instance with that of direct calls to a
//! stand-in, without load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::client::{Call, agent, send_call};
use crate::group::latency_histogram;
use crate::scenario::Scenario;
use crate::{Error, prompt};

/// Number of measured pairs of calls, one through the instance and one direct.
const PAIR_COUNT: u64 = 200;

/// Number of pairs at the start that are not measured, in which connections are opened.
const WARM_UP_PAIRS: u64 = 20;

/// Time within which a call must finish.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a prompt: less than one cache block, so that prefix caches do not affect latency.
const PROMPT_BYTES: u32 = 16;

/// Time to the first token of direct and relayed calls, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Overhead {
    /// Median of direct calls.
    pub direct_p50: u64,
    /// 99th percentile of direct calls.
    pub direct_p99: u64,
    /// Median of calls through the instance.
    pub relayed_p50: u64,
    /// 99th percentile of calls through the instance.
    pub relayed_p99: u64,
}

impl Overhead {
    /// Returns the latency that the instance adds to the 99th percentile, in microseconds.
    pub fn p99(&self) -> u64 {
        self.relayed_p99.saturating_sub(self.direct_p99)
    }

    /// Returns the latency that the instance adds to the median, in microseconds.
    pub fn p50(&self) -> u64 {
        self.relayed_p50.saturating_sub(self.direct_p50)
    }
}

/// Calls a stand-in alternately directly and through an instance, on an otherwise idle fleet.
pub(crate) fn probe(
    scenario: &Scenario,
    caller: SocketAddr,
    stand_in: SocketAddr,
    seed: u64,
) -> Result<Overhead, Error> {
    let agent = agent();
    let work = &scenario.work[0];
    let api_key = scenario.accounts[0].key.as_str();
    let mut direct = latency_histogram()?;
    let mut relayed = latency_histogram()?;
    for pair in 0..WARM_UP_PAIRS + PAIR_COUNT {
        let conversation = (seed << 32) | (1 << 31) | pair;
        let body = prompt::request_body(work.service.as_str(), conversation, 0, PROMPT_BYTES, 1);
        for (address, histogram) in [(stand_in, &mut direct), (caller, &mut relayed)] {
            let started_at = Instant::now();
            let call = Call {
                address,
                api_key,
                kind: work.kind.as_str(),
                conversation,
                body: &body,
                deadline: started_at + CALL_TIMEOUT,
            };
            if let Some(first_token_at) = send_call(&agent, &call).first_token_at
                && pair >= WARM_UP_PAIRS
            {
                histogram.saturating_record((first_token_at - started_at).as_micros() as u64);
            }
        }
    }
    Ok(Overhead {
        direct_p50: direct.value_at_quantile(0.5),
        direct_p99: direct.value_at_quantile(0.99),
        relayed_p50: relayed.value_at_quantile(0.5),
        relayed_p99: relayed.value_at_quantile(0.99),
    })
}
