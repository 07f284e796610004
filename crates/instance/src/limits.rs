//! The actor that holds the limits of client accounts over the whole fleet.

use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::limit::{
    AccountKey, Apportioner, Demand, Grants, Limit, Limiter, Message, Passage, Report,
};
use declare::Declarations;
use names::{ClientAccount, Instance};
use settings::Settings;
use stakker::{Actor, CX, Ret, after, call, ret};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::members::View;

/// How often due reports are looked for.
const TICK: Duration = Duration::from_millis(100);

/// Most demands in one report, so that it fits into a datagram.
const MAX_DEMANDS: usize = 64;

/// Demands of the accounts that one instance coordinates.
struct Batch {
    coordinator: Instance,
    demands: Vec<Demand>,
}

/// Limits this instance's accounts and coordinates some accounts for all instances.
pub(crate) struct Limits {
    me: Instance,
    hub: Actor<Hub>,
    configured: u32,
    instances: Vec<Instance>,
    limiter: Limiter,
    apportioner: Apportioner,
}

fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

impl Limits {
    pub(crate) fn init(cx: CX![], settings: Rc<Settings>, hub: Actor<Hub>) -> Option<Self> {
        after!(TICK, [cx], tick());
        let me = settings.instance.clone();
        let configured = 1 + count(&settings.peers);
        Some(Self {
            me: me.clone(),
            hub,
            configured,
            instances: vec![me],
            limiter: Limiter::new(configured),
            apportioner: Apportioner::new(1, configured),
        })
    }

    /// Learns which other instances are members.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let members = view.members.into_iter().map(|member| member.instance);
        let mut instances: Vec<_> = members.chain([self.me.clone()]).collect();
        instances.sort();
        if instances == self.instances {
            return;
        }
        let reachable = count(&instances);
        let all = self.configured.max(reachable);
        self.instances = instances;
        self.limiter.set_instances(all);
        self.apportioner.set_reachable(cx.now(), reachable, all);
    }

    /// Puts the limits of `declarations` in force.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        let accounts = declarations.client_accounts.iter();
        let limits: Vec<_> = accounts
            .filter_map(|account| {
                Some(Limit { account: AccountKey::from(&account.name), rate: account.limit? })
            })
            .collect();
        self.limiter.set_limits(limits.clone());
        self.apportioner.set_limits(limits);
    }

    /// Tells whether a request of `account` passes its limit.
    pub(crate) fn pass(&mut self, cx: CX![], account: ClientAccount, passage: Ret<Passage>) {
        let passed = self.limiter.pass(cx.now(), AccountKey::from(&account));
        ret!([passage], passed);
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode("account limits", &delivery.payload) {
            Ok(Message::Report(report)) => self.answer(cx.now(), &delivery.sender, report),
            Ok(Message::Grants(grants)) => self.limiter.take(cx.now(), grants),
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }

    fn answer(&mut self, now: Instant, instance: &Instance, report: Report) {
        let grants = self.apportioner.take(now, instance, report);
        self.send(instance, &Message::Grants(grants));
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let demands = self.limiter.due(now);
        for batch in self.batches(demands) {
            for demands in batch.demands.chunks(MAX_DEMANDS) {
                self.report(now, &batch.coordinator, demands.to_vec());
            }
        }
        self.apportioner.expire(now);
        after!(TICK, [cx], tick());
    }

    fn report(&mut self, now: Instant, coordinator: &Instance, demands: Vec<Demand>) {
        let report = self.limiter.report(now, demands);
        if *coordinator == self.me {
            let grants: Grants = self.apportioner.take(now, &self.me, report);
            self.limiter.take(now, grants);
        } else {
            self.send(coordinator, &Message::Report(report));
        }
    }

    fn batches(&self, demands: Vec<Demand>) -> Vec<Batch> {
        let mut batches: Vec<Batch> = Vec::new();
        for demand in demands {
            let Some(coordinator) = self.coordinator(demand.account) else {
                continue;
            };
            let found = batches.binary_search_by(|batch| batch.coordinator.cmp(coordinator));
            let index = found.unwrap_or_else(|index| {
                let batch = Batch { coordinator: coordinator.clone(), demands: Vec::new() };
                batches.insert(index, batch);
                index
            });
            batches[index].demands.push(demand);
        }
        batches
    }

    /// The instance that shares the limit of `account`.
    fn coordinator(&self, account: AccountKey) -> Option<&Instance> {
        placement::chosen(account.0, &self.instances)
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
