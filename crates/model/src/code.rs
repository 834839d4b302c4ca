//! Numbered result codes. `docs/codes.md` lists each code and what an operator or caller should do.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        /// All codes in ascending order.
        pub const ALL_CODES: &[Code] = &[$(Code::$name),*];

        impl Code {
            /// Returns the number that logs, headers and documents show.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns a short description.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

codes! {
    /// The complete response was passed to the caller.
    Served = 1000, "served";

    /// The request's framing or head is not valid HTTP/1.1.
    BadRequest = 2001, "malformed request";
    /// No such service is configured.
    UnknownService = 2002, "unknown service";
    /// The service has no such class.
    UnknownClass = 2003, "unknown class";
    /// The head is larger than allowed.
    HeadTooLarge = 2004, "request head too large";
    /// The caller sent its head or body too slowly.
    SlowSender = 2005, "request arrived too slowly";
    /// Another call used the idempotency key before.
    RepeatedKey = 2006, "idempotency key was used before";
    /// A header of the protocol has an invalid value.
    BadHeader = 2007, "invalid header value";
    /// The configuration has no route for the request.
    UnknownRoute = 2008, "no route for this host and path";
    /// The body is larger than allowed.
    BodyTooLarge = 2009, "request body too large";
    /// The request has no key of a workspace, and its route is not public.
    Unauthorized = 2010, "no key of a workspace";

    /// The class's target or delay cannot be met now.
    CannotMeet = 3001, "cannot start within the allowed delay";
    /// The queue is full.
    QueueFull = 3002, "queue full";
    /// No target of the service may be used.
    NoTarget = 3003, "no usable target";
    /// The targets have stated limits on their requests, which leave no room now.
    LimitReached = 3004, "targets take no more requests now";
    /// The caller has more calls waiting than its fair share.
    FairShare = 3005, "caller exceeds its fair share";
    /// The upstream refused the call without running it.
    UpstreamRefused = 3006, "upstream refused without running";
    /// The instance has no configuration yet.
    NotReady = 3007, "instance has no configuration yet";
    /// The call's deadline passed before it started.
    DeadlinePassed = 3008, "deadline passed before the start";
    /// A holder of the idempotency key did not respond.
    KeyUnchecked = 3009, "idempotency key could not be checked";
    /// No connection to the target could be opened.
    ConnectFailed = 3010, "could not connect to the target";
    /// The caller went away before the call started.
    CancelledEarly = 3011, "caller went away before the start";
    /// The request matches no route, but the instance may lack routes that were added.
    RouteUnsure = 3012, "no route in a configuration that may be out of date";
    /// Targets crashed while they ran the same request before.
    Quarantined = 3013, "targets crashed under this request";
    /// The instance is stopping and has no time left for the request.
    Stopping = 3014, "instance is stopping";
    /// The request has no known key, but the instance may lack one that was added.
    AccessUnsure = 3015, "no key in a configuration that may be out of date";
    /// The instance has no memory or connection left for the request.
    NoRoom = 3016, "instance has no room for the request";
    /// The instance cannot connect to the service's targets, and no other instance has taken the request.
    CutOff = 3017, "instance is cut off from the targets";

    /// The upstream closed the connection before the response was complete.
    UpstreamClosed = 4001, "upstream closed before the whole answer";
    /// The upstream did not complete its response in time.
    UpstreamTimeout = 4002, "upstream did not answer in time";
    /// The response body was shorter than its announced length.
    ShortBody = 4003, "answer shorter than announced";
    /// The response belongs to another call.
    CrossedAnswer = 4004, "answer belongs to another call";
    /// The caller went away while the call ran.
    CallerGone = 4005, "caller went away while the call ran";
    /// The request body failed after the instance had sent a part of it to the upstream.
    BodyFailed = 4006, "request body failed midway";
    /// The upstream's response is not valid HTTP/1.1.
    BadAnswer = 4007, "malformed answer";
    /// The response lacks the signature or id that targets add, or has an unknown transfer coding.
    UnsoundAnswer = 4008, "answer without proof of its origin";

    /// The document is not valid TOML.
    Syntax = 5001, "not valid TOML";
    /// The document has a key that does not exist.
    UnknownKey = 5002, "unknown key";
    /// A required key is missing.
    MissingKey = 5003, "missing key";
    /// A value is outside its allowed range.
    BadValue = 5004, "value not allowed";
    /// A name is used twice.
    Duplicate = 5005, "name used twice";
    /// A name refers to something that does not exist.
    Dangling = 5006, "name refers to nothing";
    /// The document is too large.
    TooLarge = 5007, "document too large";

    /// The proposal is in force at its offset.
    Accepted = 6001, "accepted";
    /// The log service has not confirmed the proposal yet.
    Pending = 6002, "pending";
    /// The proposal was made against an older revision.
    Stale = 6003, "made against an older revision";
    /// The proposal was seen before.
    Repeated = 6004, "proposal seen before";
    /// The proposal's content is not valid.
    Invalid = 6005, "proposal not valid";
    /// The operator may not do this.
    Forbidden = 6006, "not permitted";
    /// Another move of the service is in progress.
    MoveConflict = 6007, "service has a move in progress";
    /// The deadline is too near.
    DeadlineTooNear = 6008, "deadline too near";
    /// An earlier move to the version was undone and `retry` is not set.
    VersionBarred = 6009, "version was taken back before";
    /// The service belongs to another tenant.
    OtherTenant = 6010, "service belongs to another tenant";
    /// The operator is not known.
    Unauthenticated = 6011, "unknown operator";
    /// The move already has a verdict.
    Decided = 6012, "move already decided";
    /// The instance that received the query has no record of the proposal.
    UnknownProposal = 6013, "proposal not known here";
    /// A request to the administration API is malformed or names no endpoint.
    BadAdminRequest = 6014, "malformed administration request";
    /// The administration API has too many clients or its control thread did not respond in time.
    AdminBusy = 6015, "administration API busy";

    /// The record is truncated or not a record of the system.
    Foreign = 7001, "not a record of the system";
    /// The record's checksum does not match.
    Checksum = 7002, "record checksum does not match";
    /// The record's schema or kind is not known.
    UnknownKind = 7003, "unknown record schema or kind";
    /// The record is larger than allowed.
    RecordTooLarge = 7004, "record too large";
    /// Records were removed before they were read.
    Expired = 7005, "records expired before they were read";
    /// Parts of a snapshot are missing.
    SnapshotIncomplete = 7006, "snapshot incomplete";
    /// The log service cannot be reached.
    LogDown = 7007, "log service unreachable";

    /// A peer sent a frame that cannot be decoded.
    BadFrame = 8001, "malformed peer frame";
    /// A peer uses another schema version.
    PeerSchema = 8002, "unknown peer schema";
    /// A peer sent nothing for too long.
    PeerSilent = 8003, "peer silent";

    /// The load that the system causes by measuring exceeded its budget.
    BudgetExceeded = 9001, "invariant: measuring budget exceeded";
    /// A cold target received more calls than its limit.
    ColdOverrun = 9002, "invariant: cold target over its limit";
    /// A call was started in an availability zone that is out.
    ZoneOutStart = 9003, "invariant: start in a zone that is out";
    /// A call was started on a version that is stopped.
    StoppedStart = 9004, "invariant: start on a stopped version";
    /// A response was passed to a call that it does not belong to.
    AnswerMixed = 9005, "invariant: answer passed to another call";
    /// A call that had been sent to an upstream was reported as not run.
    FalseNotRun = 9006, "invariant: run call reported as not run";
    /// A non-idempotent call was sent twice.
    SentTwice = 9007, "invariant: non-idempotent call sent twice";
    /// A call was started on a target that is leaving.
    LeavingStart = 9008, "invariant: start on a leaving target";
    /// A planned stop ended a call before it was complete.
    StopCut = 9009, "invariant: planned stop cut a call";
    /// An older configuration replaced a newer one.
    Reverted = 9010, "invariant: configuration went back";
    /// A usage window has two different reports.
    UsageChanged = 9011, "invariant: two reports of one usage window";
    /// A usage report was to be sent with a lower token than an earlier one.
    UsageTokenFell = 9012, "invariant: usage token fell";
    /// A holder of the usage reports was to call shortly after another one that followed it.
    UsageAlternated = 9013, "invariant: holders of usage reports alternate";
}

/// What a caller may conclude about whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The upstream ran the call and the complete response was passed to the caller.
    Served,
    /// No upstream ran the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `hw-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Code {
    /// Returns what a caller may conclude from a code that a call ended with.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self.number() / 1000 {
            1 => Outcome::Served,
            2 | 3 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        let code = ALL_CODES.iter().copied().find(|c| c.number() == number);
        code.ok_or_else(|| format!("result code {number} does not exist"))
    }
}

#[cfg(test)]
mod tests;
