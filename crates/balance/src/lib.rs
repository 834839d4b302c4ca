//! Decisions of the gateway, without I/O or clocks: routing, admission, retry budgets,
//! hedging, limits on the rate of requests to a target, rollouts and membership. Callers pass in the current time.

#![expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds and counts stay far below 2^52"
)]

mod admission;
mod ahead_peers;
mod budget;
mod budget_usage;
mod caller_limits;
mod collector;
mod crash;
mod crash_report;
mod crash_suspects;
mod duty_candidate;
mod entry_change;
mod entry_log;
mod evidence;
mod exposure_limits;
mod fan_out;
mod fleet_usage;
mod follow_schedule;
mod gateway_config;
mod health;
mod hedge;
mod hedging;
mod instance_list;
mod live_view;
mod load;
mod mean_load;
mod member;
mod members;
mod outcome_log;
mod peer_usage;
mod placement;
mod position;
mod processing_time;
mod processing_times;
mod reach;
mod read_schedule;
mod recent_peak;
pub mod resources;
mod response_sizes;
mod returns;
mod rollout;
mod rollout_order;
mod route;
mod send_limiter;
mod send_pace;
mod senders;
mod service_config;
mod start_wait;
mod stated_limit;
mod stop_plan;
mod suspicion;
mod target_entry;
mod target_notes;
mod targets;
pub mod usage;
mod weighted_service;
mod workspaces;

pub use crate::{
    admission::AdmissionLimits,
    ahead_peers::{AheadPeers, PeerAhead},
    budget::RetryBudget,
    budget_usage::BudgetUsage,
    caller_limits::CallerLimits,
    collector::Collector,
    crash::Crash,
    crash_report::{CrashAge, CrashReport},
    crash_suspects::CrashSuspects,
    duty_candidate::DutyCandidate,
    entry_change::EntryChange,
    entry_log::EntryLog,
    evidence::{Evidence, Tally},
    exposure_limits::ExposureLimits,
    fan_out::FanOut,
    fleet_usage::FleetUsage,
    follow_schedule::FollowSchedule,
    gateway_config::GatewayConfig,
    health::Health,
    hedge::hedge_delay_ms,
    hedging::{HedgeConditions, HedgeLimiter, HedgePolicy, HoldReason, LatencyWindow},
    instance_list::{InstanceList, ListCall},
    live_view::LiveView,
    load::{LatencyEstimate, Load},
    mean_load::MeanLoad,
    member::{Member, Presence},
    members::{COLLECT, COLLECTORS, Members},
    outcome_log::{OutcomeLog, ReportedOutcomes},
    peer_usage::PeerUsage,
    placement::{PlacementCandidate, ZoneRoom, place_callers},
    position::Position,
    processing_time::ProcessingTime,
    processing_times::ProcessingTimes,
    reach::{Contact, PeerChoice, Reach, ServiceReach},
    read_schedule::ReadSchedule,
    recent_peak::RecentPeak,
    response_sizes::ResponseSizes,
    returns::{Ask, FirstDeadlines, Kind, PeerClaims, Promise, Room, ServiceReturns},
    rollout::{Rollout, Stage},
    rollout_order::{RolloutOrder, Verdict},
    route::Route,
    send_limiter::SendLimiter,
    send_pace::SendPace,
    senders::Senders,
    service_config::ServiceConfig,
    start_wait::{StartStage, expected_ready_ms},
    stated_limit::StatedLimit,
    stop_plan::StopPlan,
    suspicion::Suspicion,
    target_entry::TargetEntry,
    target_notes::{TargetNote, TargetNotes},
    targets::{Target, Targets},
    weighted_service::{WeightedService, choose_service},
    workspaces::{Access, KeyDigest, KeyIndex, KeyVerdict, Workspace},
};
