//! The actor that keeps the declarations in force.

use std::path::Path;
use std::rc::Rc;

use declare::Declarations;
use operator::Response;
use settings::Settings;
use stakker::{Actor, CX, Fwd};
use wire::{Delivery, Hub};

use crate::Error;
use crate::operators::Ask;
use crate::replica::Replica;

/// Keeps the declarations in force and hands them to the router.
pub(crate) struct Config {
    _replica: Actor<Replica>,
    _hub: Actor<Hub>,
    declarations: Rc<Declarations>,
}

fn read(path: &Path) -> Result<Declarations, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::File { path: path.display().to_string(), source })?;
    Declarations::try_from(text)
        .map_err(|source| Error::Declarations { path: path.display().to_string(), source })
}

impl Config {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        replica: Actor<Replica>,
        hub: Actor<Hub>,
        in_force: Fwd<Rc<Declarations>>,
    ) -> Option<Self> {
        let declarations = match settings.bootstrap_declarations.as_deref().map(read) {
            None => Rc::default(),
            Some(Ok(declarations)) => Rc::new(declarations),
            Some(Err(error)) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        in_force.fwd(declarations.clone());
        Some(Self { _replica: replica, _hub: hub, declarations })
    }

    /// Answers a request of the operators' port under `/declarations`.
    pub(crate) fn answer(&mut self, _: CX![], ask: Ask) {
        ask.answer(Response::json(200, self.declarations.as_ref()));
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("declarations: message of instance {}", delivery.sender);
    }
}
