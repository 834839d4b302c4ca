//! Steps, stops and verdicts of moves.

use model::{Code, ServiceName, Version, Wall};
use wire::Verdict;

use super::{
    Fold, MoveState, Outcome, Ruling, accepted, move_state::FULL_SHARE, service_state::bar, stale,
};

impl Fold {
    pub(super) fn take_step(
        &mut self,
        offset: u64,
        at: Wall,
        plan: &str,
        from: u16,
        to: u16,
    ) -> Ruling {
        let shift = match self.undecided(plan) {
            Ok((_, shift)) => shift,
            Err(ruling) => return ruling,
        };
        if shift.stop.is_some() {
            return (Code::Decided, "the version was stopped".to_owned());
        }
        if from != shift.share {
            return stale(u64::from(from), u64::from(shift.share));
        }
        if shift.next_share() != Some(to) {
            return (Code::Invalid, format!("no step from {from} to {to}"));
        }
        if at > shift.deadline {
            return (Code::Invalid, "made after the deadline".to_owned());
        }
        shift.share = to;
        shift.stepped = offset;
        accepted()
    }

    pub(super) fn take_verdict(
        &mut self,
        at: Wall,
        plan: &str,
        verdict: Verdict,
        reason: &str,
    ) -> Ruling {
        let (marks, shift) = match self.undecided(plan) {
            Ok(found) => found,
            Err(ruling) => return ruling,
        };
        if verdict == Verdict::Done && shift.stop.is_some() {
            return (Code::Decided, "the version was stopped".to_owned());
        }
        if verdict == Verdict::Done && (shift.share != FULL_SHARE || at > shift.deadline) {
            let detail = format!("not done at share {}", shift.share);
            return (Code::Invalid, detail);
        }
        shift.outcome = Some(Outcome {
            verdict,
            reason: reason.to_owned(),
            at,
        });
        if verdict == Verdict::Done {
            *marks.version = shift.to.clone();
        } else {
            shift.share = 0;
            bar(marks.barred, &shift.to);
        }
        accepted()
    }

    pub(super) fn take_stop(
        &mut self,
        service: &ServiceName,
        version: &Version,
        plan: &str,
        reason: &str,
    ) -> Ruling {
        let (marks, shift) = match self.undecided(plan) {
            Ok(found) => found,
            Err(ruling) => return ruling,
        };
        if marks.name != service || shift.to != *version {
            return (Code::Invalid, "not the version of the move".to_owned());
        }
        if shift.stop.is_some() {
            return (Code::Repeated, "the version was stopped before".to_owned());
        }
        shift.share = 0;
        shift.stop = Some(reason.to_owned());
        bar(marks.barred, version);
        accepted()
    }

    /// The move with this id, if there is no verdict yet, and what its outcome changes.
    fn undecided(&mut self, plan: &str) -> Result<(Marks<'_>, &mut MoveState), Ruling> {
        let unknown = || (Code::Invalid, "unknown move".to_owned());
        let (service, _) = plan.split_once('/').ok_or_else(unknown)?;
        let name = ServiceName::new(service);
        let state = self.services.get_mut(&name).ok_or_else(unknown)?;
        let shift = state.shift.as_mut().filter(|s| s.plan == plan);
        let shift = shift.ok_or_else(unknown)?;
        if let Some(outcome) = &shift.outcome {
            let detail = format!("{:?}: {}", outcome.verdict, outcome.reason);
            return Err((Code::Decided, detail));
        }
        let marks = Marks {
            name: &state.config.name,
            version: &mut state.version,
            barred: &mut state.barred,
        };
        Ok((marks, shift))
    }
}

/// Fields of a service that the outcome of its move changes.
struct Marks<'a> {
    name: &'a ServiceName,
    version: &'a mut Version,
    barred: &'a mut Vec<Version>,
}
