//! Calls of a caller: choice of an address, connections and retries.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, sync::Mutex as AsyncMutex, task};
use rand::Rng;

use super::{AddressResponse, pool::Pool, query_addresses};
use crate::{CallResponse, CallSpec, send_call};

/// Result codes of calls that did not run and may be retried.
const NOT_RUN_CODES: std::ops::Range<u16> = 3_000..4_000;
/// Result codes after which the caller tries the next address immediately: no usable target, no
/// configuration.
const NEXT_ADDRESS_CODES: [u16; 2] = [3_003, 3_007];

/// Specification of a caller.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Value of `hw-caller`.
    pub name: String,
    /// Availability zone that the caller names in address queries.
    pub zone: String,
    /// Instances to query when no known address answers.
    pub instance_addrs: Vec<SocketAddr>,
    /// Maximum number of retries of a call that did not run.
    pub max_retries: u32,
}

/// Result of a call.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// Response to the last attempt, if there was one.
    pub response: Option<CallResponse>,
    /// Whether the outcome is unknown: the call was sent, but no response arrived.
    pub unknown: bool,
    /// Number of retries.
    pub retries: u32,
}

/// Result of one attempt.
enum Attempt {
    Response(CallResponse),
    /// No connection could be opened.
    NotSent,
    /// The connection broke or timed out after the call was sent.
    NoResponse,
}

/// An address response with the time until which it may be used.
struct CachedResponse {
    response: AddressResponse,
    expires_at: Instant,
}

/// A caller of the system.
pub struct Caller {
    spec: CallerSpec,
    pool: Pool,
    /// Latest address response for each service.
    cache: Mutex<HashMap<String, CachedResponse>>,
    /// Held during address queries, so that simultaneous calls send only one.
    query_lock: AsyncMutex<()>,
}

impl Caller {
    /// Returns a caller with no known addresses.
    #[must_use]
    pub fn new(spec: CallerSpec) -> Self {
        Self {
            spec,
            pool: Pool::default(),
            cache: Mutex::default(),
            query_lock: AsyncMutex::new(()),
        }
    }

    /// Sends a call and retries it within `timeout` while its outcome is "not run".
    pub async fn call(&self, spec: &CallSpec<'_>, timeout: Duration) -> CallResult {
        let deadline = Instant::now() + timeout;
        let mut result = CallResult::default();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.attempt(spec, left, result.retries).await {
                Attempt::Response(response) => result.response = Some(response),
                Attempt::NotSent => result.response = None,
                Attempt::NoResponse => {
                    result.response = None;
                    result.unknown = true;
                    return result;
                }
            }
            let Some(delay) = retry_delay(result.response.as_ref()) else {
                return result;
            };
            if result.retries >= self.spec.max_retries || Instant::now() + delay >= deadline {
                return result;
            }
            result.retries += 1;
            task::sleep(delay).await;
        }
    }

    /// Tries the addresses in order. Each retry begins one address later than the attempt before.
    async fn attempt(&self, spec: &CallSpec<'_>, limit: Duration, retries: u32) -> Attempt {
        let mut addresses = self.addresses(spec.service).await;
        let skip = retries as usize % addresses.len().max(1);
        addresses.rotate_left(skip);
        let mut last = Attempt::NotSent;
        for addr in addresses {
            let Ok(stream) = self.pool.get(addr).await else {
                self.pool.remove(addr);
                continue;
            };
            let attempt = self.send_on(spec, addr, stream, limit).await;
            let try_next = matches!(&attempt, Attempt::Response(r)
                if r.code.is_some_and(|c| NEXT_ADDRESS_CODES.contains(&c)));
            if !try_next {
                return attempt;
            }
            last = attempt;
        }
        last
    }

    /// Sends the call on a connection and returns the connection to the pool after a response.
    async fn send_on(
        &self,
        spec: &CallSpec<'_>,
        addr: SocketAddr,
        stream: TcpStream,
        limit: Duration,
    ) -> Attempt {
        let mut headers = spec.headers.to_vec();
        headers.push(("hw-caller", &self.spec.name));
        let spec = CallSpec {
            headers: &headers,
            ..spec.clone()
        };
        let sent = send_call(stream.clone(), addr, &spec);
        if let Ok(Ok(response)) = timeout(limit, Box::pin(sent)).await {
            self.pool.put(addr, stream);
            Attempt::Response(response)
        } else {
            self.pool.remove(addr);
            Attempt::NoResponse
        }
    }

    /// Returns the addresses of a service from the cache or, if they have expired, from a new
    /// query. Returns the expired ones if no instance answers.
    async fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        if let Some(addresses) = self.cached(service, true) {
            return addresses;
        }
        let _guard = self.query_lock.lock().await;
        if let Some(addresses) = self.cached(service, true) {
            return addresses;
        }
        let expired = self.cached(service, false).unwrap_or_default();
        let skip = rand::rng().random_range(0..self.spec.instance_addrs.len().max(1));
        let first = self.spec.instance_addrs.iter().skip(skip);
        let instances = first.chain(self.spec.instance_addrs.iter().take(skip));
        for instance in expired.iter().chain(instances) {
            let response = query_addresses(*instance, service, &self.spec.zone).await;
            if let Some(response) = response.filter(|r| !r.addresses.is_empty()) {
                return self.cache_response(service, response);
            }
        }
        expired
    }

    /// Returns the cached addresses of a service; with `only_fresh`, only if they have not expired.
    fn cached(&self, service: &str, only_fresh: bool) -> Option<Vec<SocketAddr>> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = cache.get(service)?;
        let usable = !only_fresh || Instant::now() < cached.expires_at;
        usable.then(|| cached.response.addresses.clone())
    }

    /// Caches an address response and returns its addresses.
    fn cache_response(&self, service: &str, response: AddressResponse) -> Vec<SocketAddr> {
        let addresses = response.addresses.clone();
        let expires_at = Instant::now() + Duration::from_millis(response.max_age_ms);
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = CachedResponse {
            response,
            expires_at,
        };
        cache.insert(service.to_owned(), cached);
        addresses
    }
}

/// Returns the delay before a retry of a call, or `None` if the call must not be retried. `response` is
/// `None` if the call was not sent.
fn retry_delay(response: Option<&CallResponse>) -> Option<Duration> {
    const DEFAULT_MS: u64 = 50;
    let Some(response) = response else {
        return Some(Duration::from_millis(DEFAULT_MS));
    };
    let rejected = response.code.is_some_and(|c| NOT_RUN_CODES.contains(&c));
    let not_run = response.outcome.as_deref() == Some("not-run");
    let delay = Duration::from_millis(response.retry_ms.unwrap_or(DEFAULT_MS));
    (rejected && not_run).then_some(delay)
}
