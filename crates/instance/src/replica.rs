//! The actor through which all slices propose commands to the replicated log.

use std::cell::RefCell;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use settings::{Role, Settings};
use stakker::{CX, Fwd, Ret, ret};
use state::{Index, Machine, Proposed};
use wire::Delivery;

/// The machine that a command is for.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
)]
pub(crate) enum Part {
    /// Revisions of the declarations.
    Declare,
    /// Claims and results of non-idempotent requests.
    Ledger,
    /// Leases and fencing numbers.
    Lease,
}

/// A machine that its slice reads while the log writes it.
pub(crate) type SharedMachine = Rc<RefCell<dyn Machine>>;

#[allow(dead_code)]
struct Attached {
    part: Part,
    machine: SharedMachine,
    applied: Fwd<Index>,
}

#[allow(dead_code)]
/// Replicates commands. With one voter and no disk for now.
pub(crate) struct Replica {
    is_voter: bool,
    index: Index,
    attached: Vec<Attached>,
}

#[allow(dead_code)]
impl Replica {
    pub(crate) fn init(_: CX![], settings: Rc<Settings>) -> Option<Self> {
        let is_voter = settings.has_role(Role::Control);
        Some(Self { is_voter, index: Index::default(), attached: Vec::new() })
    }

    /// Attaches the machine of `part`; `applied` is told after each change of it.
    pub(crate) fn attach(
        &mut self,
        _: CX![],
        part: Part,
        machine: SharedMachine,
        applied: Fwd<Index>,
    ) {
        self.attached.push(Attached { part, machine, applied });
    }

    /// Proposes a command, from any instance of the fleet.
    pub(crate) fn propose(
        &mut self,
        _: CX![],
        part: Part,
        command: Vec<u8>,
        proposed: Ret<Proposed>,
    ) {
        let attached = self.attached.iter().find(|attached| attached.part == part);
        let Some(attached) = attached.filter(|_| self.is_voter) else {
            ret!([proposed], Proposed::NotRun);
            return;
        };
        self.index.0 += 1;
        let outcome = attached.machine.borrow_mut().apply(self.index, &command);
        attached.applied.fwd(self.index);
        ret!([proposed], Proposed::Applied { index: self.index, outcome });
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("replicated log: message of instance {}", delivery.sender);
    }
}
