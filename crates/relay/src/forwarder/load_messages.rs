//! Exchanges the loads that upstreams report between instances.
//!
//! An upstream reports its load with each response, so an instance learns the load only as often as
//! it sends requests to the upstream, which is rare in a large fleet. Each instance forwards the
//! loads that it learns to a few random peers, so that the cost per instance does not grow with the
//! fleet. [`forward::LoadGossip`] selects the loads to forward.

use std::time::{Duration, Instant};

use forward::{AccountCounts, LimitReport, Load, PromptLength, ShareCounts, UpstreamWork};
use names::Instance;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use stakker::{CX, after, call};
use wire::{Delivery, Outgoing, Slice, Transport};

use super::Forwarder;

/// Maximum number of loads in a message, so that the message fits in a datagram.
const MAX_LOADS: usize = 100;

/// Maximum number of unresponsive engines in a message.
const MAX_UNRESPONSIVE: usize = 40;

/// Interval at which new rate limits are sent to the other instances.
pub(super) const LIMIT_REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Maximum number of rate limits in a message, so that the message fits in a datagram.
const MAX_LIMITS: usize = 40;

/// Message in [`Slice::Load`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// Loads that upstreams reported to the sender or its peers.
    Loads {
        loads: Vec<Load>,
        /// Short hashes of the names of unresponsive engines. They have requests of the sender, and
        /// have sent nothing to the sender for longer than they take to process a usual prompt.
        unresponsive: Vec<u32>,
    },
    /// Asks the load tracker of an upstream for the number of requests there.
    LoadQuery {
        count: LoadCount,
        /// Account of the request that the query is for.
        account: Option<u32>,
        /// Requests of the sender at the upstream by account, including that request. Empty if
        /// accounts have no shares.
        accounts: AccountCounts,
    },
    /// Answer to a query, with the number of requests of all instances.
    LoadAnswer {
        count: LoadCount,
        /// What the decision is based on, if the request is over the share of its account. It is not
        /// counted at the upstream then.
        over_share: Option<ShareCounts>,
    },
    /// Reports to a load tracker the work of the sender at upstreams, and the latency and the pace of
    /// one upstream.
    Report {
        number: u64,
        counts: Vec<(u32, UpstreamWork)>,
        latency: Option<Latency>,
        pace: Option<NamedPace>,
        /// Requests of the sender at the upstreams by account, in the order of `counts`. Empty if
        /// accounts have no shares.
        accounts: Vec<AccountCounts>,
    },
    /// Rate limits that upstreams named in responses to the sender.
    Limits(Vec<LimitReport>),
}

/// Numbers of requests at an upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct LoadCount {
    /// Message number, which increases with each message of the same kind. An answer has the number
    /// of its query.
    pub(super) number: u64,
    /// Short hash of the name of the upstream.
    pub(super) upstream: u32,
    /// Work at the upstream, including the request that the query is for.
    pub(super) work: UpstreamWork,
    /// Number of requests that the sender has at all upstreams of the service.
    pub(super) in_flight: u32,
    /// Time in microseconds that the upstream takes for an event or a response that is not
    /// streamed, or 0 if unknown.
    pub(super) micros: u32,
    /// Length of the prompt of a query about an upstream that is cold, as far as the sender knows.
    pub(super) cold_prompt: Option<PromptLength>,
    /// Pace of the upstream in percent, or 0 if unknown.
    pub(super) pace: u16,
}

/// Latency of an upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Latency {
    /// Short hash of the name of the upstream.
    pub(super) upstream: u32,
    /// Time in microseconds for an event or a response that is not streamed.
    pub(super) micros: u32,
}

/// Pace that an upstream named in an answer to the sender.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct NamedPace {
    /// Short hash of the name of the upstream.
    pub(super) upstream: u32,
    /// Pace in percent.
    pub(super) percent: u16,
}

impl Forwarder {
    /// Sends recently reported loads and the unresponsive engines to a few random peers, and
    /// schedules the next exchange.
    pub(super) fn gossip_loads(&mut self, cx: CX![]) {
        let forward::GossipConfig { period, fanout } = forward::GossipConfig::new(self.entry_count);
        let loads = self.table.loads_to_send(cx.now(), MAX_LOADS);
        let unresponsive = match forward::is_large_fleet(self.entry_count) {
            true => self.table.unresponsive_engines(cx.now(), MAX_UNRESPONSIVE),
            false => Vec::new(),
        };
        if !loads.is_empty() || !unresponsive.is_empty() {
            let message = Message::Loads { loads, unresponsive };
            let chosen = self.peers.sample(&mut rand::rng(), fanout);
            let chosen: Vec<Instance> = chosen.map(|peer| peer.instance.clone()).collect();
            self.send_loads(chosen, &message);
        }
        after!(period, [cx], gossip_loads());
    }

    /// Sends the rate limits that other instances have to know, and schedules the next time.
    pub(super) fn report_limits(&mut self, cx: CX![]) {
        let reports = self.table.limits_to_send(cx.now());
        for reports in reports.chunks(MAX_LIMITS) {
            let peers = self.peers.iter().map(|peer| peer.instance.clone()).collect();
            self.send_loads(peers, &Message::Limits(reports.to_vec()));
        }
        self.check_cold(cx);
        after!(LIMIT_REPORT_PERIOD, [cx], report_limits());
    }

    pub(super) fn send_loads(&self, addressees: Vec<Instance>, message: &Message) {
        let payload = match wire::encode(message) {
            Ok(payload) => payload,
            Err(error) => {
                log::error!("dropped a load message: cannot encode it: {error}");
                return;
            }
        };
        for addressee in addressees {
            let (slice, transport, payload) = (Slice::Load, Transport::Udp, payload.clone());
            let outgoing = Outgoing { addressee, slice, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }

    /// Handles a message of another instance about loads.
    pub(crate) fn receive_load_message(&mut self, cx: CX![], delivery: Delivery) {
        let now: Instant = cx.now();
        match wire::decode::<Message>("loads of upstreams", &delivery.payload) {
            Ok(Message::Loads { loads, unresponsive }) => {
                loads.iter().for_each(|load| self.table.receive_load(now, *load));
                unresponsive
                    .iter()
                    .for_each(|short_hash| self.table.receive_unresponsive(now, *short_hash));
            }
            Ok(Message::LoadQuery { count, account, accounts }) => {
                self.answer_load_query(now, delivery.sender, count, account, accounts);
            }
            Ok(Message::LoadAnswer { count, over_share }) => {
                self.receive_load_answer(cx, &delivery.sender, count, over_share);
            }
            Ok(Message::Report { number, counts, latency, pace, accounts }) => {
                self.count_reported(now, &delivery.sender, number, counts, accounts);
                if let Some(Latency { upstream, micros }) = latency {
                    self.latencies.observe(now, upstream, micros);
                }
                self.receive_pace(now, pace);
            }
            Ok(Message::Limits(reports)) => {
                self.table.merge_limits(now, &delivery.sender, &reports);
                self.serve_queues(cx);
            }
            Err(error) => {
                log::warn!("ignored a message from instance {}: {error}", delivery.sender)
            }
        }
    }
}
