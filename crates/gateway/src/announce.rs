//! Announces this instance in the store and finds others there, while it ranks first among the collectors
//! that it knows.

use std::{rc::Rc, time::Duration};

use async_std::task;
use balance::{COLLECT, InstanceList, ListCall};
use platform::{Change, Listing, PeerEntry, PlatformError, Store, Topic};
use tracing::warn;

use crate::{listing_log::log_unreadable, state::State};

/// Time for an instance to discover its peers through the seeds.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failed call.
const ERROR_PAUSE: Duration = Duration::from_millis(500);
/// Time between two checks of whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps to the list until the process ends.
pub async fn follow_instance_list(state: Rc<State>) {
    let settings = &state.settings;
    let entry = PeerEntry {
        name: settings.instance.clone(),
        incarnation: state.incarnation,
        zone: settings.zone.clone(),
        caller_addr: settings.callers,
        peer_addr: settings.peer.into(),
    };
    let mut store = Store::new(settings.store);
    let mut list = InstanceList::default();
    task::sleep(DISCOVERY_TIME).await;
    loop {
        let is_first = state.has_duty(COLLECT);
        let due = list.due(state.now(), is_first, state.store_era.get());
        let Some(call) = due else {
            task::sleep(CHECK_INTERVAL).await;
            continue;
        };
        state.metrics.count("store_calls", 1);
        let result = match call {
            ListCall::Announce => announce(&state, &mut store, &mut list, &entry).await,
            ListCall::Read => read(&state, &mut store, &mut list).await,
        };
        if let Err(error) = result {
            warn!(event = "announce_failed", ?call, %error);
            task::sleep(ERROR_PAUSE).await;
        }
    }
}

/// Writes the entry of this instance.
async fn announce(
    state: &State,
    store: &mut Store,
    list: &mut InstanceList,
    entry: &PeerEntry,
) -> Result<(), PlatformError> {
    let era = store.announce(entry).await?;
    list.record_announced(era, state.now());
    Ok(())
}

/// Reads the entries, and sends reports to the instances that may live.
async fn read(
    state: &State,
    store: &mut Store,
    list: &mut InstanceList,
) -> Result<(), PlatformError> {
    let newest = store.newest(Topic::Instances).await?;
    log_unreadable(Topic::Instances, &newest);
    let listing = Listing::decode(Topic::Instances, &newest.records);
    let entries = listing.changes.into_iter().filter_map(|(offset, change)| {
        let Change::Instance(entry) = change else {
            return None;
        };
        Some((entry.peer_addr, offset))
    });
    let addrs = list.record_entries(entries, state.now());
    state.members.borrow_mut().add_addresses(addrs);
    Ok(())
}
