//! Configuration documents, and the moves that they start and cancel.

use model::{Code, Config, MovePlan, Service, Tenant, Wall};
use wire::{Body, Verdict};

use super::{
    Fold, MoveState, Outcome, Ruling, ServiceState, TenantState, accepted, move_state::plan_id,
    stale,
};

/// Tenants of a deployment. 64 documents of the largest size fit in a snapshot.
const MAX_TENANTS: usize = 64;
/// Services that one tenant may ever name.
const MAX_SERVICES: usize = 256;

impl Fold {
    pub(super) fn take_document(
        &mut self,
        offset: u64,
        at: Wall,
        tenant: &Tenant,
        base: u64,
        text: &str,
    ) -> Ruling {
        let revision = self.tenants.get(tenant).map_or(0, |t| t.revision);
        if base != revision {
            return stale(base, revision);
        }
        let is_new = !self.tenants.contains_key(tenant);
        if !tenant.is_valid() || (is_new && self.tenants.len() >= MAX_TENANTS) {
            return (Code::Invalid, format!("tenant {tenant:?}"));
        }
        let config = match Config::parse(tenant.as_str(), text) {
            Ok(config) => config,
            Err(errors) => {
                let first = errors.first().map(ToString::to_string);
                return (Code::Invalid, first.unwrap_or_default());
            }
        };
        if let Err(ruling) = self.check_document(at, tenant, &config) {
            return ruling;
        }
        assert!(offset > revision, "{}", Code::Reverted);
        self.accept_document(offset, at, tenant, &config);
        let state = TenantState {
            revision: offset,
            text: text.to_owned(),
            config,
        };
        self.tenants.insert(tenant.clone(), state);
        accepted()
    }

    fn check_document(&self, at: Wall, tenant: &Tenant, config: &Config) -> Result<(), Ruling> {
        for service in &config.services {
            let owner = self.services.get(&service.name).map(|s| &s.tenant);
            if owner.is_some_and(|o| o != tenant) {
                return Err((Code::OtherTenant, service.name.to_string()));
            }
        }
        let own = self.services.values().filter(|s| s.tenant == *tenant);
        let added = config.services.iter();
        let added = added.filter(|s| !self.services.contains_key(&s.name));
        if own.count() + added.count() > MAX_SERVICES {
            let detail = format!("more than {MAX_SERVICES} services named");
            return Err((Code::Invalid, detail));
        }
        for plan in &config.moves {
            self.check_move(at, tenant, config, plan)?;
        }
        Ok(())
    }

    /// Checks a move that the tenant's last document does not contain.
    fn check_move(
        &self,
        at: Wall,
        tenant: &Tenant,
        config: &Config,
        plan: &MovePlan,
    ) -> Result<(), Ruling> {
        let last = self.tenants.get(tenant).map(|t| &t.config);
        if last.is_some_and(|c| c.moves.contains(plan)) {
            return Ok(());
        }
        let id = plan_id(plan);
        let service = self.services.get(&plan.service);
        if let Some(shift) = service.and_then(|s| s.shift.as_ref()) {
            match (shift.plan == id, shift.is_open()) {
                (true, true) => return Ok(()),
                (true, false) => return Err((Code::Decided, id)),
                (false, true) => return Err((Code::MoveConflict, shift.plan.clone())),
                (false, false) => {}
            }
        }
        if service.is_some_and(|s| s.past.contains(&id)) {
            return Err((Code::Decided, id));
        }
        if !Body::deadline_fits(at, plan.deadline) {
            let detail = format!("{} ms ahead", plan.deadline.since_ms(at));
            return Err((Code::DeadlineTooNear, detail));
        }
        if !plan.retry && service.is_some_and(|s| s.barred.contains(&plan.version)) {
            return Err((Code::VersionBarred, id));
        }
        let first = config.service(&plan.service).map(|s| &s.version);
        if service.map(|s| &s.version).or(first) == Some(&plan.version) {
            let detail = format!("{} runs on {} already", plan.service, plan.version);
            return Err((Code::Invalid, detail));
        }
        Ok(())
    }

    fn accept_document(&mut self, offset: u64, at: Wall, tenant: &Tenant, config: &Config) {
        for service in &config.services {
            self.accept_service(tenant, service);
        }
        for (name, state) in &mut self.services {
            if state.tenant != *tenant {
                continue;
            }
            state.listed = config.service(name).is_some();
            let wished = config.moves.iter().find(|m| m.service == *name);
            let wished_id = wished.map(plan_id);
            if let Some(shift) = state.shift.as_mut()
                && shift.is_open()
                && wished_id.as_ref() != Some(&shift.plan)
            {
                cancel(shift, at);
            }
            let known = state.shift.as_ref().map(|s| &s.plan);
            if let Some(plan) = wished
                && known != wished_id.as_ref()
            {
                state.permit(&plan.version);
                state.start(MoveState::new(plan, &state.version, offset));
            }
        }
    }

    fn accept_service(&mut self, tenant: &Tenant, service: &Service) {
        let state = self.services.entry(service.name.clone());
        let state = state.or_insert_with(|| ServiceState::new(tenant, service));
        state.config = service.clone();
    }
}

/// An operator took the move back; the version itself is not at fault and stays permitted.
fn cancel(shift: &mut MoveState, at: Wall) {
    shift.share = 0;
    shift.outcome = Some(Outcome {
        verdict: Verdict::Undone,
        reason: "cancelled".to_owned(),
        at,
    });
}
