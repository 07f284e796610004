//! Installation of snapshots that are received in parts.

use super::*;

/// One part of a snapshot.
pub(super) struct SnapshotPart {
    pub(super) position: Position,
    pub(super) members: Members,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) bytes: Vec<u8>,
}

/// A partially received snapshot.
pub(super) struct IncomingSnapshot {
    position: Position,
    bytes: Vec<u8>,
}

impl Core {
    pub(super) fn on_install(
        &mut self,
        from: VoterId,
        instance: Instance,
        part: SnapshotPart,
        sent: u64,
    ) {
        let position = part.position;
        if position.index <= self.commit {
            self.verified = self.verified.max(position.index);
            let synced = position.index.min(self.persistence.durable());
            let verified = position.index;
            self.reply(from, instance, Message::Appended { verified, synced, sent });
            return;
        }
        let incoming = match self.incoming.take() {
            Some(incoming) if incoming.position == position => incoming,
            _ => IncomingSnapshot { position, bytes: Vec::new() },
        };
        let incoming = self.incoming.insert(incoming);
        if incoming.bytes.len() as u64 == part.offset {
            incoming.bytes.extend_from_slice(&part.bytes);
        }
        let received = incoming.bytes.len() as u64;
        if received == part.total {
            self.install(position, part.members);
        }
        self.reply(from, instance, Message::Installing { position, received, sent });
    }

    fn install(&mut self, position: Position, members: Members) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        self.snapshot = Arc::new(Snapshot { position, members, data: incoming.bytes.into() });
        if self.log.term(position.index) == Some(position.term) {
            self.log.compact(position);
        } else {
            self.log = Log::new(position, self.snapshot.members.clone());
            self.persistence.truncate(self.commit);
            self.persistence.mark_log_replaced();
        }
        self.persistence.set_snapshot(self.snapshot.clone());
        self.persistence.mark_installed(position.index);
        self.commit = position.index;
        self.applied = position.index;
        self.actions.push(Action::Restore(self.snapshot.clone()));
    }
}
