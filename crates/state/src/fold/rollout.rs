//! Applies steps, stops and verdicts of moves.

use model::{Code, ServiceName, Version, Wall};
use wire::Verdict;

use super::{
    Decision, Fold, MoveState, Outcome, accepted, move_state::FULL_SHARE_BP, service_state::bar,
    stale_base,
};

impl Fold {
    /// Raises the share of an open move from `from` to the next share, `to`.
    pub(super) fn apply_step(
        &mut self,
        offset: u64,
        at: Wall,
        move_id: &str,
        from: u16,
        to: u16,
    ) -> Decision {
        let move_state = match self.open_move_mut(move_id) {
            Ok((_, move_state)) => move_state,
            Err(decision) => return decision,
        };
        if move_state.stop.is_some() {
            return (Code::Decided, "the version was stopped".to_owned());
        }
        if from != move_state.share {
            return stale_base(u64::from(from), u64::from(move_state.share));
        }
        if move_state.next_share() != Some(to) {
            return (Code::Invalid, format!("no step from {from} to {to}"));
        }
        if at > move_state.deadline {
            return (Code::Invalid, "made after the deadline".to_owned());
        }
        move_state.share = to;
        move_state.stepped = offset;
        accepted()
    }

    /// Decides an open move. Only a move at full share whose version was not stopped can be done,
    /// and only up to its deadline.
    pub(super) fn apply_verdict(
        &mut self,
        at: Wall,
        move_id: &str,
        verdict: Verdict,
        reason: &str,
    ) -> Decision {
        let (fields, move_state) = match self.open_move_mut(move_id) {
            Ok(found) => found,
            Err(decision) => return decision,
        };
        if verdict == Verdict::Done && move_state.stop.is_some() {
            return (Code::Decided, "the version was stopped".to_owned());
        }
        if verdict == Verdict::Done
            && (move_state.share != FULL_SHARE_BP || at > move_state.deadline)
        {
            let detail = format!("not done at share {}", move_state.share);
            return (Code::Invalid, detail);
        }
        move_state.outcome = Some(Outcome {
            verdict,
            reason: reason.to_owned(),
            at,
        });
        if verdict == Verdict::Done {
            *fields.version = move_state.to.clone();
        } else {
            move_state.share = 0;
            bar(fields.barred, &move_state.to);
        }
        accepted()
    }

    /// Stops the new version of an open move: it gets no more calls and is barred. The verdict
    /// follows in a record of its own.
    pub(super) fn apply_stop(
        &mut self,
        service: &ServiceName,
        version: &Version,
        move_id: &str,
        reason: &str,
    ) -> Decision {
        let (fields, move_state) = match self.open_move_mut(move_id) {
            Ok(found) => found,
            Err(decision) => return decision,
        };
        if fields.name != service || move_state.to != *version {
            return (Code::Invalid, "not the version of the move".to_owned());
        }
        if move_state.stop.is_some() {
            return (Code::Repeated, "the version was stopped before".to_owned());
        }
        move_state.share = 0;
        move_state.stop = Some(reason.to_owned());
        bar(fields.barred, version);
        accepted()
    }

    /// Returns the open move with this id, and the fields of its service that its outcome changes.
    fn open_move_mut(
        &mut self,
        move_id: &str,
    ) -> Result<(ServiceFields<'_>, &mut MoveState), Decision> {
        let unknown = || (Code::Invalid, "unknown move".to_owned());
        let (service, _) = move_id.split_once('/').ok_or_else(unknown)?;
        let name = ServiceName::new(service);
        let state = self.services.get_mut(&name).ok_or_else(unknown)?;
        let move_state = state.last_move.as_mut().filter(|m| m.id == move_id);
        let move_state = move_state.ok_or_else(unknown)?;
        if let Some(outcome) = &move_state.outcome {
            let detail = format!("{:?}: {}", outcome.verdict, outcome.reason);
            return Err((Code::Decided, detail));
        }
        let fields = ServiceFields {
            name: &state.config.name,
            version: &mut state.version,
            barred: &mut state.barred,
        };
        Ok((fields, move_state))
    }
}

/// Fields of a service that a stop or a verdict of its move reads or changes.
struct ServiceFields<'a> {
    name: &'a ServiceName,
    version: &'a mut Version,
    barred: &'a mut Vec<Version>,
}
