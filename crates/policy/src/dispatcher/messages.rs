//! Loan messages from and to other instances, and the budget that limits how many are sent.

use model::{Code, InstanceId, Time};
use wire::LoanMsg;

use super::Dispatcher;
use crate::{Action, invariant::check_invariant, message_priority::MessagePriority};

/// Estimated bytes of the frame around a message, not counting the service's name.
const FRAME_BYTES: usize = 24;
/// Estimated bytes of a number or a length in the variable-length encoding.
const NUMBER_BYTES: usize = 4;

impl Dispatcher {
    /// Handles a message from another instance.
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

    /// Queues a message, which [`Self::flush`] sends when the budget allows it.
    pub(super) fn send(&mut self, to: &InstanceId, msg: LoanMsg) {
        self.outbox.push_back((to.clone(), msg));
    }

    /// Returns whether the budget has room for a message that may be left out, in addition to the
    /// messages in the outbox, each estimated as two frames. Counts it as held back if not.
    pub(super) fn may_send(&mut self, now: Time, priority: MessagePriority) -> bool {
        let queued = self.outbox.len();
        let size = u32::try_from((queued + 1) * 2 * FRAME_BYTES).unwrap_or(u32::MAX);
        let allowed = self.message_budget.allows(now, size, priority);
        self.stats.held_back += u64::from(!allowed);
        allowed
    }

    /// Sends messages from the outbox until the budget is used up. The rest stays in the outbox.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((to, msg)) = self.outbox.pop_front() {
            let size = self.size_of(&msg);
            if !self
                .message_budget
                .allows(now, size, MessagePriority::Essential)
            {
                self.stats.held_back += 1;
                self.outbox.push_front((to, msg));
                return;
            }
            self.message_budget.spend(size);
            self.stats.messages += 1;
            self.stats.bytes += u64::from(size);
            let within_limits = self.message_budget.is_within_limits(now);
            let detail = format_args!("loan messages of service {}", self.view.name);
            check_invariant(&mut self.stats, Code::BudgetExceeded, within_limits, detail);
            out.push(Action::Send { to, msg });
        }
    }

    /// Returns the estimated size of a message on the wire, in bytes.
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
