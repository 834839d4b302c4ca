//! Asks peers and the store for the operator's records, the next one as soon as the one before has failed or is
//! late. The first usable answer counts.

use std::{future, net::SocketAddr, time::Duration};

use async_std::{future::timeout, task};
use balance::{PeerAhead, Position, Presence};
use futures::{
    FutureExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
    stream::FuturesUnordered,
};
use model::Time;
use platform::{Page, PeerClient, PlatformError, Record, Store, Topic};
use rand::seq::IteratorRandom;
use tracing::{info, warn};

use super::answer::{PeerRecords, target};
use crate::{scheduling::control_delay_ms, state::State};

/// Time after which the next one is asked as well. Answers take a few milliseconds, and some tens at an instance
/// that is short of processor time.
const STAGGER: Duration = Duration::from_millis(150);
/// Time limit of each call, in milliseconds. Others are asked long before.
const LIMIT_MS: u64 = 1_000;
/// Ready instances that are asked although they have not said that they know more.
const OTHERS: usize = 2;

/// What a peer or the store knew beyond a position.
#[derive(Debug)]
pub struct Found {
    /// Position of the next record.
    pub next: Position,
    /// Time as of which there was none.
    pub as_of: Time,
    /// Whether `records` has the latest record of each key. Otherwise it has all records up to `next`.
    pub is_listing: bool,
    /// Records before `next`.
    pub records: Vec<Record>,
    /// Configuration in force at the peer, if it is newer.
    pub config: Option<Record>,
    /// Peer that was asked; `None` for the store.
    pub peer: Option<SocketAddr>,
    /// Error of the store, if it was asked in vain before.
    pub store_error: Option<PlatformError>,
}

impl Found {
    fn of_peer(
        peer: SocketAddr,
        next: Position,
        as_of: Time,
        records: Vec<Record>,
        config: Option<Record>,
    ) -> Self {
        Self {
            next,
            as_of,
            is_listing: false,
            records,
            config,
            peer: Some(peer),
            store_error: None,
        }
    }

    /// Whether there is more than what an instance knows that reads the record at `from` next.
    fn is_beyond(&self, from: Position) -> bool {
        self.next > from || self.config.is_some()
    }
}

#[derive(Clone, Copy, Debug)]
enum Source {
    /// A peer that has said that it knows more.
    Ahead(PeerAhead),
    /// Another ready instance.
    Other(SocketAddr),
    Store,
}

impl Source {
    fn is_ahead(&self) -> bool {
        matches!(self, Self::Ahead(_))
    }
}

/// Asks for the records from `from` on. If no peer is known to have any, the answer that there are none must hold as
/// of `current_since` or later. Fails with the error of the store if nobody has a usable answer.
pub async fn ask_all(
    state: &State,
    from: Position,
    current_since: Time,
) -> Result<Found, PlatformError> {
    let mut sources = sources(state, from).into_iter();
    let wants_more = sources.as_slice().iter().any(Source::is_ahead);
    let mut asked = FuturesUnordered::new();
    let mut of_store = None;
    loop {
        let is_last = sources.len() <= 1;
        if let Some(source) = sources.next() {
            asked.push(ask(state, source, from));
        }
        let due = async {
            task::sleep(STAGGER).await;
            if is_last {
                future::pending::<()>().await;
            }
        };
        let answer = match select(asked.next(), due.boxed_local()).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => continue,
        };
        match answer {
            Some((Source::Store, Err(error))) => of_store = Some(Err(error)),
            // The store may lack what others have if it has come back from an earlier copy.
            Some((Source::Store, Ok(found))) if wants_more && !found.is_beyond(from) => {
                of_store = Some(Ok(found));
            }
            Some((_, Ok(found)))
                if found.is_beyond(from) || !wants_more && found.as_of >= current_since =>
            {
                let store_error = of_store.and_then(Result::err);
                return Ok(Found {
                    store_error,
                    ..found
                });
            }
            Some((source, result)) => log_unusable(state, source, result.err()),
            None => {
                let nobody = Err(PlatformError::Timeout { limit_ms: LIMIT_MS });
                return of_store.unwrap_or(nobody);
            }
        }
    }
}

/// Logs that a peer did not answer, or knew nothing more.
fn log_unusable(state: &State, source: Source, error: Option<PlatformError>) {
    let (Source::Ahead(PeerAhead { addr, .. }) | Source::Other(addr)) = source else {
        return;
    };
    let error = error.map_or(String::from("nothing more"), |error| error.to_string());
    let delay_ms = control_delay_ms(state);
    warn!(event = "records_not_passed_on", peer = %addr, error, delay_ms);
    let now = state.now();
    state.ahead_peers.borrow_mut().record_failure(addr, now);
}

/// Returns whom to ask, in this order. The store comes before instances that have said nothing, unless it failed
/// lately and a peer is ahead: otherwise nothing would show that it answers again.
fn sources(state: &State, from: Position) -> Vec<Source> {
    let peers = state.ahead_peers.borrow();
    let ahead = peers.to_ask(from, state.config_version(), state.now());
    let members = state.members.borrow();
    let is_silent = |addr: &SocketAddr| ahead.iter().all(|peer| peer.addr != *addr);
    let ready = members.live().filter(|m| m.presence == Presence::Ready);
    let others = ready.map(|m| m.peer_addr).filter(is_silent);
    let others = others.choose_multiple(&mut rand::rng(), OTHERS).into_iter();
    let is_store_last = !state.has_store.get() && !ahead.is_empty();
    let mut sources: Vec<Source> = ahead.iter().copied().map(Source::Ahead).collect();
    if !is_store_last {
        sources.push(Source::Store);
    }
    sources.extend(others.map(Source::Other));
    if is_store_last {
        sources.push(Source::Store);
    }
    sources
}

fn ask(
    state: &State,
    source: Source,
    from: Position,
) -> LocalBoxFuture<'_, (Source, Result<Found, PlatformError>)> {
    async move {
        let limit = Duration::from_millis(LIMIT_MS);
        let asking = async {
            match source {
                Source::Ahead(peer) => ask_peer(state, peer.addr, from, Some(peer)).await,
                Source::Other(addr) => ask_peer(state, addr, from, None).await,
                Source::Store => ask_store(state, from).await,
            }
        };
        let late = PlatformError::Timeout { limit_ms: LIMIT_MS };
        let found = timeout(limit, asking).await.unwrap_or(Err(late));
        (source, found)
    }
    .boxed_local()
}

async fn ask_store(state: &State, from: Position) -> Result<Found, PlatformError> {
    state.metrics.count("store_calls", 1);
    let asked = state.now();
    let mut store = Store::new(state.settings.store);
    let page = store.read(Topic::Operator, from, 0).await?;
    Ok(Found {
        next: page.next,
        as_of: asked,
        is_listing: false,
        records: page.records,
        config: None,
        peer: None,
        store_error: None,
    })
}

/// Asks a peer. `ahead` is what it has said, if it knows more than this instance.
async fn ask_peer(
    state: &State,
    peer: SocketAddr,
    from: Position,
    ahead: Option<PeerAhead>,
) -> Result<Found, PlatformError> {
    let asked = state.now();
    let mut client = PeerClient::new(peer);
    let target = target(from, state.config_version());
    let response = client.get(&target, LIMIT_MS).await?;
    if response.status == 404 {
        return ask_earlier_release(state, peer, from, ahead).await;
    }
    if response.status != 200 {
        let status = response.status;
        return Err(PlatformError::Refused { status });
    }
    let malformed = || PlatformError::Body(String::from("records of a peer"));
    let records = PeerRecords::decode(&response.body).ok_or_else(malformed)?;
    if records.next.era != from.era {
        let (era, expected) = (records.next.era, from.era);
        return Err(PlatformError::OtherEra { era, expected });
    }
    let (next, is_listing) = (records.next, records.is_listing);
    let as_of = asked.minus_ms(records.age_ms);
    let (records, config) = records.into_records();
    let (count, has_config) = (records.len(), config.is_some());
    info!(event = "records_passed_on", %peer, %from, %next, count, is_listing, has_config);
    if next < from {
        // Nothing is known of the records in between.
        return Ok(Found::of_peer(peer, from, Time(0), Vec::new(), config));
    }
    let found = Found::of_peer(peer, next, as_of, records, config);
    Ok(Found {
        is_listing: is_listing && next > from,
        ..found
    })
}

/// Asks a peer of a release that tells records and its configuration apart, and no ages: they are in its digests.
async fn ask_earlier_release(
    state: &State,
    peer: SocketAddr,
    from: Position,
    ahead: Option<PeerAhead>,
) -> Result<Found, PlatformError> {
    let mut relay = Store::new(peer);
    let page = match relay.read(Topic::Operator, from, 0).await {
        Ok(page) => page,
        Err(PlatformError::NotRetained { .. }) => Page {
            next: from,
            is_last: true,
            records: Vec::new(),
        },
        Err(error) => return Err(error),
    };
    let wants_config = ahead.is_some_and(|peer| peer.config_version > state.config_version());
    let config = if wants_config && page.next <= from {
        relay.config_of_peer().await?.pop()
    } else {
        None
    };
    info!(event = "orders_passed_on", %peer, %from, next = %page.next);
    // A relay may give only a part of what its instance has read.
    let is_whole = ahead.filter(|peer| page.next >= peer.next);
    let as_of = is_whole.map_or(Time(0), |peer| peer.as_of);
    Ok(Found::of_peer(peer, page.next, as_of, page.records, config))
}

#[cfg(test)]
mod tests;
