//! Latencies by route and limiters by service of this instance.

use std::{cell::RefCell, collections::HashMap, sync::Arc};

use balance::{HedgeLimiter, HedgePolicy, LatencyWindow, Route};
use model::{ServiceName, Time};

use crate::settings::Settings;

/// What this instance keeps for hedging.
#[derive(Debug)]
pub struct Hedger {
    policy: Option<HedgePolicy>,
    routes: RefCell<HashMap<Arc<str>, LatencyWindow>>,
    services: RefCell<HashMap<ServiceName, HedgeLimiter>>,
}

impl Hedger {
    /// Returns a hedger without latencies.
    pub fn new(settings: &Settings) -> Self {
        Self {
            policy: settings.hedging.map(|hedging| hedging.policy()),
            routes: RefCell::default(),
            services: RefCell::default(),
        }
    }

    /// Returns the operator's limits; `None` if the settings have none.
    pub fn policy(&self) -> Option<HedgePolicy> {
        self.policy
    }

    /// Runs `action` on the limiter of `service`. Returns `None` without a policy.
    pub fn with_limiter<T>(
        &self,
        service: &ServiceName,
        now: Time,
        action: impl FnOnce(&mut HedgeLimiter) -> T,
    ) -> Option<T> {
        let policy = self.policy?;
        let mut services = self.services.borrow_mut();
        let limiter = services
            .entry(service.clone())
            .or_insert_with(|| HedgeLimiter::new(policy.share, now));
        Some(action(limiter))
    }

    /// Returns the hedges to `service` that could be sent now.
    pub fn available(&self, service: &ServiceName) -> f64 {
        let services = self.services.borrow();
        services.get(service).map_or(0.0, HedgeLimiter::available)
    }

    /// Records the latency of an attempt; see [`LatencyWindow::record`].
    pub fn record_latency(&self, route: &Route, ms: f64, now: Time) {
        let mut routes = self.routes.borrow_mut();
        let window = routes.entry(Arc::clone(&route.name)).or_default();
        window.record(ms, now);
    }

    /// Returns the delay of a hedge; see [`HedgePolicy::delay_ms`].
    pub fn delay_ms(&self, route: &Route, left_ms: f64, processing_ms: f64) -> Option<f64> {
        let routes = self.routes.borrow();
        let window = routes.get(&route.name)?;
        self.policy?.delay_ms(window, left_ms, processing_ms)
    }

    /// Removes the latencies that no longer count, routes without any, and the limiters of services for
    /// which `is_known` is false.
    pub fn sweep(&self, now: Time, is_known: impl Fn(&ServiceName) -> bool) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| is_known(service));
        self.routes.borrow_mut().retain(|_, window| {
            window.drop_expired(now);
            !window.is_empty()
        });
    }
}
