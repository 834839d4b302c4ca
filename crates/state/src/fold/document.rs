//! Applies configuration documents, and starts and cancels the moves that they list.

use model::{Code, Config, MovePlan, Service, Tenant, Wall};
use wire::{Body, Verdict};

use super::{
    Decision, Fold, MoveState, Outcome, ServiceState, TenantState, accepted, move_state::move_id,
    stale_base,
};

/// Largest number of tenants. Their documents, each of the largest size, still fit in a snapshot.
const MAX_TENANTS: usize = 64;
/// Largest number of services of a tenant, including those that its document no longer names.
const MAX_SERVICES: usize = 256;

impl Fold {
    /// Accepts or refuses a document as a whole. `base` has to be the tenant's current revision.
    pub(super) fn apply_document(
        &mut self,
        offset: u64,
        at: Wall,
        tenant: &Tenant,
        base: u64,
        text: &str,
    ) -> Decision {
        let revision = self.tenants.get(tenant).map_or(0, |t| t.revision);
        if base != revision {
            return stale_base(base, revision);
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
        if let Err(decision) = self.check_document(at, tenant, &config) {
            return decision;
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

    /// Checks that the tenant may use the services and start the moves that the document lists.
    fn check_document(&self, at: Wall, tenant: &Tenant, config: &Config) -> Result<(), Decision> {
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

    /// Checks a move. Moves that the tenant's last document already listed pass unchecked.
    fn check_move(
        &self,
        at: Wall,
        tenant: &Tenant,
        config: &Config,
        plan: &MovePlan,
    ) -> Result<(), Decision> {
        let last = self.tenants.get(tenant).map(|t| &t.config);
        if last.is_some_and(|c| c.moves.contains(plan)) {
            return Ok(());
        }
        let id = move_id(plan);
        let service = self.services.get(&plan.service);
        if let Some(move_state) = service.and_then(|s| s.last_move.as_ref()) {
            match (move_state.id == id, move_state.is_open()) {
                (true, true) => return Ok(()),
                (true, false) => return Err((Code::Decided, id)),
                (false, true) => return Err((Code::MoveConflict, move_state.id.clone())),
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

    /// Puts a checked document in force: cancels open moves that it no longer lists and starts
    /// those that are new.
    fn accept_document(&mut self, offset: u64, at: Wall, tenant: &Tenant, config: &Config) {
        for service in &config.services {
            self.accept_service(tenant, service);
        }
        for (name, state) in &mut self.services {
            if state.tenant != *tenant {
                continue;
            }
            state.configured = config.service(name).is_some();
            let requested = config.moves.iter().find(|m| m.service == *name);
            let requested_id = requested.map(move_id);
            if let Some(move_state) = state.last_move.as_mut()
                && move_state.is_open()
                && requested_id.as_ref() != Some(&move_state.id)
            {
                cancel(move_state, at);
            }
            let known = state.last_move.as_ref().map(|m| &m.id);
            if let Some(plan) = requested
                && known != requested_id.as_ref()
            {
                state.unbar(&plan.version);
                state.start_move(MoveState::new(plan, &state.version, offset));
            }
        }
    }

    fn accept_service(&mut self, tenant: &Tenant, service: &Service) {
        let state = self.services.entry(service.name.clone());
        let state = state.or_insert_with(|| ServiceState::new(tenant, service));
        state.config = service.clone();
    }
}

/// Undoes a move that an operator removed from the document. The version is not at fault, so it is
/// not barred.
fn cancel(move_state: &mut MoveState, at: Wall) {
    move_state.share = 0;
    move_state.outcome = Some(Outcome {
        verdict: Verdict::Undone,
        reason: "cancelled".to_owned(),
        at,
    });
}
