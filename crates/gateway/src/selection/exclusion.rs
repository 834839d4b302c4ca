//! Reasons for which a target cannot get a request, whatever its load.

use balance::Target;
use model::Time;

use crate::{
    selection::{Criteria, leaving_or_out},
    send_limits::SendLimits,
    state::State,
    version_filter::VersionFilter,
};

/// Reason for which a target cannot get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It leaves.
    Leaving,
    /// Its zone is taken out.
    ZoneOut,
    /// A rollout does not let its version have the request.
    Version,
    /// It wants no requests for a while.
    Closed,
    /// It states a limit, and the request is one that may not take a turn.
    StatesLimit,
    /// The request was sent to it before.
    Tried,
    /// It could not be connected to, like most targets of its service.
    Unreachable,
    /// This instance's share of the limit that it states is used.
    Limit,
    /// It is cold, and this instance's share of its requests is used.
    Cold,
    /// It is ejected after failures, and others are not.
    Ejected,
}

impl Exclusion {
    /// Returns the first reason that rules the target out, before limits on rates and ejections.
    pub fn of(
        state: &State,
        now: Time,
        criteria: &Criteria<'_>,
        version_filter: &VersionFilter,
        target: &Target,
    ) -> Option<Self> {
        if let Some(reason) = leaving_or_out(state, target) {
            return Some(reason);
        }
        if !version_filter.allows(target, criteria.new_version) {
            return Some(Self::Version);
        }
        if target.closed_ms(now).is_some() {
            return Some(Self::Closed);
        }
        if !criteria.may_be_limited && target.limit.rate(now).is_some() {
            return Some(Self::StatesLimit);
        }
        let is_tried = criteria.tried.contains(&target.entry.id);
        if is_tried {
            return Some(Self::Tried);
        }
        let reach = state.reach.borrow();
        let is_unreachable = reach.is_unreachable(criteria.service, &target.entry.id);
        is_unreachable.then_some(Self::Unreachable)
    }

    /// Returns why a target is not among the usable ones although [`Self::of`] has no reason.
    pub fn of_unused(
        state: &State,
        criteria: &Criteria<'_>,
        limits: &SendLimits,
        target: &Target,
    ) -> Self {
        if limits.allow(target, criteria.urgency_rank) {
            return Self::Ejected;
        }
        if target.is_cold(state.now()) {
            Self::Cold
        } else {
            Self::Limit
        }
    }

    /// Returns the name of the reason in explanations.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::ZoneOut => "zone_out",
            Self::Version => "version",
            Self::Closed => "closed",
            Self::StatesLimit => "states_limit",
            Self::Tried => "tried",
            Self::Unreachable => "unreachable",
            Self::Limit => "limit",
            Self::Cold => "cold",
            Self::Ejected => "ejected",
        }
    }
}
