//! Calls: address choice, connections, repeats.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, sync::Mutex as AsyncMutex, task};
use rand::Rng;

use super::{AddressAnswer, ask_addresses, pool::Pool};
use crate::{CallAnswer, CallSpec, send_call};

/// Kind of result codes that say "not run" and may be repeated.
const REJECTIONS: std::ops::Range<u16> = 3_000..4_000;
/// Result codes on which another address is used at once: no usable target, no configuration.
const ELSEWHERE: [u16; 2] = [3_003, 3_007];

/// Who calls, and from where.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Value of `hw-caller`.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Instances to ask for addresses while none is known.
    pub entries: Vec<SocketAddr>,
    /// Most repeats of a call that was not run.
    pub repeats: u32,
}

/// How a call ended.
#[derive(Clone, Debug, Default)]
pub struct CallDone {
    /// The last answer. `None` if the last attempt gave none.
    pub answer: Option<CallAnswer>,
    /// Whether some attempt may have run without its answer arriving.
    pub unknown: bool,
    /// Attempts beyond the first.
    pub repeats: u32,
}

/// End of one attempt.
enum Attempt {
    Answer(CallAnswer),
    /// Nothing was sent.
    Unsent,
    /// The connection broke or timed out after the call was sent.
    Lost,
}

struct Known {
    answer: AddressAnswer,
    until: Instant,
}

/// A caller.
pub struct Caller {
    spec: CallerSpec,
    pool: Pool,
    known: Mutex<HashMap<String, Known>>,
    asking: AsyncMutex<()>,
}

impl Caller {
    /// A caller that knows no address yet.
    #[must_use]
    pub fn new(spec: CallerSpec) -> Self {
        Self {
            spec,
            pool: Pool::default(),
            known: Mutex::default(),
            asking: AsyncMutex::new(()),
        }
    }

    /// Runs a call within `limit`. Repeats only what was not run.
    pub async fn call(&self, spec: &CallSpec<'_>, limit: Duration) -> CallDone {
        let until = Instant::now() + limit;
        let mut done = CallDone::default();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.attempt(spec, left, done.repeats).await {
                Attempt::Answer(answer) => done.answer = Some(answer),
                Attempt::Unsent => done.answer = None,
                Attempt::Lost => {
                    done.answer = None;
                    done.unknown = true;
                    return done;
                }
            }
            let Some(wait) = repeat_after(done.answer.as_ref()) else {
                return done;
            };
            if done.repeats >= self.spec.repeats || Instant::now() + wait >= until {
                return done;
            }
            done.repeats += 1;
            task::sleep(wait).await;
        }
    }

    /// Tries the addresses in order. A repeat begins with the one after that of the attempt before.
    async fn attempt(&self, spec: &CallSpec<'_>, limit: Duration, repeats: u32) -> Attempt {
        let mut addresses = self.addresses(spec.service).await;
        let skip = repeats as usize % addresses.len().max(1);
        addresses.rotate_left(skip);
        let mut last = Attempt::Unsent;
        for addr in addresses {
            let Ok(stream) = self.pool.get(addr).await else {
                self.pool.forget(addr);
                continue;
            };
            let attempt = self.exchange(spec, addr, stream, limit).await;
            let elsewhere = matches!(&attempt, Attempt::Answer(a)
                if a.code.is_some_and(|c| ELSEWHERE.contains(&c)));
            if !elsewhere {
                return attempt;
            }
            last = attempt;
        }
        last
    }

    async fn exchange(
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
        if let Ok(Ok(answer)) = timeout(limit, Box::pin(sent)).await {
            self.pool.put(addr, stream);
            Attempt::Answer(answer)
        } else {
            self.pool.forget(addr);
            Attempt::Lost
        }
    }

    /// Addresses for a service: those kept, or fresh ones if they are too old.
    async fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        if let Some(fresh) = self.kept(service, true) {
            return fresh;
        }
        let _asking = self.asking.lock().await;
        if let Some(fresh) = self.kept(service, true) {
            return fresh;
        }
        let old = self.kept(service, false).unwrap_or_default();
        let skip = rand::rng().random_range(0..self.spec.entries.len().max(1));
        let first = self.spec.entries.iter().skip(skip);
        let entries = first.chain(self.spec.entries.iter().take(skip));
        for entry in old.iter().chain(entries) {
            let answer = ask_addresses(*entry, service, &self.spec.zone).await;
            if let Some(answer) = answer.filter(|a| !a.addresses.is_empty()) {
                return self.keep(service, answer);
            }
        }
        old
    }

    fn kept(&self, service: &str, fresh: bool) -> Option<Vec<SocketAddr>> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let known = known.get(service)?;
        let usable = !fresh || Instant::now() < known.until;
        usable.then(|| known.answer.addresses.clone())
    }

    fn keep(&self, service: &str, answer: AddressAnswer) -> Vec<SocketAddr> {
        let addresses = answer.addresses.clone();
        let until = Instant::now() + Duration::from_millis(answer.max_age_ms);
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(service.to_owned(), Known { answer, until });
        addresses
    }
}

/// When to repeat a call; `None` if it must not be repeated. No answer here means that nothing was
/// sent.
fn repeat_after(answer: Option<&CallAnswer>) -> Option<Duration> {
    const DEFAULT_MS: u64 = 50;
    let Some(answer) = answer else {
        return Some(Duration::from_millis(DEFAULT_MS));
    };
    let rejected = answer.code.is_some_and(|c| REJECTIONS.contains(&c));
    let not_run = answer.outcome.as_deref() == Some("not-run");
    let wait = Duration::from_millis(answer.retry_ms.unwrap_or(DEFAULT_MS));
    (rejected && not_run).then_some(wait)
}
