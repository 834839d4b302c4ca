//! Messages to and from other instances.

use model::{Code, InstanceId, Time};
use wire::LoanMsg;

use super::Dispatcher;
use crate::{Action, invariant::check_invariant, message_priority::MessagePriority};

/// Bytes of a frame around a message: length, kinds and the name of the service.
const FRAME_BYTES: usize = 24;
/// Bytes of a number or a length, as an upper estimate of the variable-length encoding.
const NUMBER_BYTES: usize = 4;

impl Dispatcher {
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        from: &InstanceId,
        msg: LoanMsg,
        out: &mut Vec<Action>,
    ) {
        match msg {
            LoanMsg::Want { waiting, tight } => self.on_want(now, from, waiting, tight),
            LoanMsg::Grant {
                target,
                loan,
                hold_ms,
            } => self.on_grant(now, from, target, loan, hold_ms),
            LoanMsg::Recall { loan } => self.on_recall(from, loan),
            LoanMsg::Claim { view, targets } => self.on_claim(now, from, view, targets),
            LoanMsg::Release {
                view,
                targets,
                kept,
            } => self.on_release(now, from, view, targets, kept),
            msg @ LoanMsg::Return { .. } => self.on_return(now, from, &msg, out),
        }
    }

    /// Sends a message that gives something back or hands something over. It waits for the budget.
    pub(super) fn send(&mut self, to: &InstanceId, msg: LoanMsg) {
        self.outbox.push_back((to.clone(), msg));
    }

    /// Whether the budget has room for a message that need not be sent.
    pub(super) fn may_send(&mut self, now: Time, urgency: MessagePriority) -> bool {
        let held = self.outbox.len();
        let room = u32::try_from((held + 1) * 2 * FRAME_BYTES).unwrap_or(u32::MAX);
        let may = self.budget.allows(now, room, urgency);
        self.stats.held_back += u64::from(!may);
        may
    }

    /// Hands out messages as far as the budget goes; the rest waits.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((to, msg)) = self.outbox.pop_front() {
            let size = self.size_of(&msg);
            if !self.budget.allows(now, size, MessagePriority::Essential) {
                self.stats.held_back += 1;
                self.outbox.push_front((to, msg));
                return;
            }
            self.budget.spend(size);
            self.stats.messages += 1;
            self.stats.bytes += u64::from(size);
            let kept = self.budget.is_within_limits(now);
            let detail = format_args!("loan messages of {}", self.view.name);
            check_invariant(&mut self.stats, Code::BudgetExceeded, kept, detail);
            out.push(Action::Send { to, msg });
        }
    }

    /// Estimated size of a message on the wire.
    fn size_of(&self, msg: &LoanMsg) -> u32 {
        let fields = match msg {
            LoanMsg::Want { .. } | LoanMsg::Recall { .. } => 2 * NUMBER_BYTES,
            LoanMsg::Grant { target, .. } => target.as_str().len() + 4 * NUMBER_BYTES,
            LoanMsg::Return { .. } => 6 * NUMBER_BYTES,
            LoanMsg::Claim { targets, .. } => {
                let ids = targets.iter().map(|t| t.as_str().len() + NUMBER_BYTES);
                2 * NUMBER_BYTES + ids.sum::<usize>()
            }
            LoanMsg::Release { targets, kept, .. } => {
                let ids = targets.iter().map(|(t, _, _)| t).chain(kept);
                let ids = ids.map(|t| t.as_str().len() + 3 * NUMBER_BYTES);
                3 * NUMBER_BYTES + ids.sum::<usize>()
            }
        };
        let size = FRAME_BYTES + self.view.name.as_str().len() + fields;
        u32::try_from(size).unwrap_or(u32::MAX)
    }
}
