//! Actor that enforces the fleet-wide rate limits of client accounts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::limit::{
    AccountKey, Demand, Grants, Limit, LimitCoordinator, LimitDecision, Limiter, Message, Report,
};
use declare::Declarations;
use names::{ClientAccount, Instance};
use settings::Settings;
use stakker::{Actor, CX, Ret, after, call, ret};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::members::View;

/// Interval between checks for due reports.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of demands in a report, so that the report fits into a datagram.
const MAX_DEMANDS_PER_REPORT: usize = 64;

/// Demands for the accounts that one instance coordinates.
struct CoordinatorBatch {
    coordinator: Instance,
    demands: Vec<Demand>,
}

/// Enforces limits on the requests of this instance, and coordinates the limits of some accounts
/// for the whole fleet.
pub(crate) struct Limits {
    me: Instance,
    hub: Actor<Hub>,
    configured_count: u32,
    instances: Vec<Instance>,
    limiter: Limiter,
    limit_coordinator: LimitCoordinator,
}

fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

impl Limits {
    pub(crate) fn init(cx: CX![], settings: Rc<Settings>, hub: Actor<Hub>) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        let me = settings.instance.clone();
        let configured_count = 1 + count(&settings.peers);
        Some(Self {
            me: me.clone(),
            hub,
            configured_count,
            instances: vec![me],
            limiter: Limiter::new(configured_count),
            limit_coordinator: LimitCoordinator::new(1, configured_count),
        })
    }

    /// Updates the instances that share the limits.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let members = view.members.into_iter().map(|member| member.instance);
        let mut instances: Vec<_> = members.chain([self.me.clone()]).collect();
        instances.sort();
        if instances == self.instances {
            return;
        }
        let reachable = count(&instances);
        let total = self.configured_count.max(reachable);
        self.instances = instances;
        self.limiter.set_instances(total);
        self.limit_coordinator.set_reachable(cx.now(), reachable, total);
    }

    /// Applies the limits in `declarations`.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        let accounts = declarations.client_accounts.iter();
        let limits: Vec<_> = accounts
            .filter_map(|account| {
                Some(Limit { account: AccountKey::from(&account.name), rate: account.limit? })
            })
            .collect();
        self.limiter.set_limits(limits.clone());
        self.limit_coordinator.set_limits(limits);
    }

    /// Replies whether a request of `account` is within its limit.
    pub(crate) fn check(&mut self, cx: CX![], account: ClientAccount, reply: Ret<LimitDecision>) {
        let decision = self.limiter.check(cx.now(), AccountKey::from(&account));
        ret!([reply], decision);
    }

    /// Handles a message from a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode("account limits", &delivery.payload) {
            Ok(Message::Report(report)) => self.handle_report(cx.now(), &delivery.sender, report),
            Ok(Message::Grants(grants)) => self.limiter.apply_grants(cx.now(), grants),
            Err(error) => log::warn!(
                "invalid message from instance {}: {error}; message dropped",
                delivery.sender
            ),
        }
    }

    fn handle_report(&mut self, now: Instant, instance: &Instance, report: Report) {
        let grants = self.limit_coordinator.handle_report(now, instance, report);
        self.send(instance, &Message::Grants(grants));
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let demands = self.limiter.due(now);
        for batch in self.group_by_coordinator(demands) {
            for demands in batch.demands.chunks(MAX_DEMANDS_PER_REPORT) {
                self.send_report(now, &batch.coordinator, demands.to_vec());
            }
        }
        self.limit_coordinator.expire(now);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn send_report(&mut self, now: Instant, coordinator: &Instance, demands: Vec<Demand>) {
        let report = self.limiter.report(now, demands);
        if *coordinator == self.me {
            let grants: Grants = self.limit_coordinator.handle_report(now, &self.me, report);
            self.limiter.apply_grants(now, grants);
        } else {
            self.send(coordinator, &Message::Report(report));
        }
    }

    fn group_by_coordinator(&self, demands: Vec<Demand>) -> Vec<CoordinatorBatch> {
        let mut batches: Vec<CoordinatorBatch> = Vec::new();
        for demand in demands {
            let Some(coordinator) = self.coordinator_of(demand.account) else {
                continue;
            };
            let found = batches.binary_search_by(|batch| batch.coordinator.cmp(coordinator));
            let index = found.unwrap_or_else(|index| {
                let batch =
                    CoordinatorBatch { coordinator: coordinator.clone(), demands: Vec::new() };
                batches.insert(index, batch);
                index
            });
            batches[index].demands.push(demand);
        }
        batches
    }

    /// Returns the instance that divides the limit of `account` among all instances.
    fn coordinator_of(&self, account: AccountKey) -> Option<&Instance> {
        placement::rendezvous_owner(account.0, &self.instances)
    }

    fn send(&self, addressee: &Instance, message: &Message) {
        let Ok(payload) = encode(message) else {
            return;
        };
        let outgoing = Outgoing {
            addressee: addressee.clone(),
            slice: Slice::Account,
            transport: Transport::Udp,
            payload,
        };
        call!([self.hub], send(outgoing));
    }
}
