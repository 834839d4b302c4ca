//! Hedging within the operator's limit: keeps latencies and limiters, and gathers what the policy in
//! `balance` decides on. Without `[hedging]` in the settings, nothing here has an effect.

mod decision;
mod hedger;
mod record;
mod settings;

pub use self::{
    decision::{delay_ms, give_up_unused, hold_reason, mean_load, take_allowance},
    hedger::Hedger,
    record::{record_cancelled, record_held, record_latency, record_request, record_sent},
    settings::HedgingSettings,
};

#[cfg(test)]
mod tests;
