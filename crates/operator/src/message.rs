//! Requests and replies of the operator interface.
//!
//! Times are milliseconds since the Unix epoch unless the field says otherwise.

use std::collections::BTreeMap;
use std::fmt;

use policy::burn::Report;
use policy::id::Revision;
use policy::rule::{CustomerRule, KindRule, Rank, RuleSet};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Reply of `GET /health`. Any reply means that the process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct HealthReply {
    /// Always true.
    pub alive: bool,
}

/// Reply of `GET /ready`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ReadyReply {
    /// Whether the daemon has rules, its endpoint has announced itself, and it is not draining.
    pub ready: bool,
    /// Conditions that are not met, as text for operators.
    pub missing: Vec<String>,
}

/// State of a member as this daemon sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Replies to probes.
    Alive,
    /// Missed probes, and may still refute the suspicion.
    Suspect,
    /// Its data centre cannot be reached.
    Unreachable,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// Has left or been declared dead.
    Gone,
}

impl MemberState {
    /// Returns the name used in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// One daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct MemberInfo {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Peer address, as `IP:PORT`.
    pub address: String,
    /// Start of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// State as this daemon sees it.
    pub state: MemberState,
    /// Revision of the rules in force there, as last received.
    pub revision: Revision,
    /// Services of the endpoints on the VM.
    pub services: Vec<String>,
}

/// Reply of `GET /members`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct MembersReply {
    /// All known members, including the daemon that replies.
    pub members: Vec<MemberInfo>,
}

/// Query of `GET /rules`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct RulesQuery {
    /// A revision of the history. The one in force if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// Reply of `GET /rules`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct RulesReply {
    /// Revision of the text.
    pub revision: Revision,
    /// Text of the rules file.
    pub text: String,
}

/// One change of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ChangeInfo {
    /// Revision that the change wrote.
    pub revision: Revision,
    /// Id of the edit.
    pub edit: String,
    /// Person who applied it.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
    /// Time of the change.
    pub time_ms: u64,
    /// Ids of the rules that it added, changed or removed, the first 100 of them.
    pub rules: Vec<String>,
    /// Number of changed rules beyond those listed.
    #[serde(default)]
    pub more: u32,
}

/// Reply of `GET /history`, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct HistoryReply {
    /// The change in force and those before it.
    pub changes: Vec<ChangeInfo>,
}

/// Body of `POST /rules`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Edit {
    /// Id of the edit. An edit that is resent with the same id is applied at most once.
    pub edit: String,
    /// Revision that the edit is based on.
    pub base: Revision,
    /// Whole new text of the rules file.
    pub text: String,
    /// Person who applies it.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
    /// Whether to check and merge only, without writing.
    #[serde(default)]
    pub dry_run: bool,
}

/// Id that stands for the order of the rules in place of a rule id.
pub const ORDER_ID: &str = "order";
/// Id that stands for the comments below the last rule in place of a rule id.
pub const TAIL_ID: &str = "tail";

/// How a rule differs between two texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Only the newer text has the rule.
    Added,
    /// Both texts have the rule, with different content.
    Changed,
    /// Only the older text has it.
    Removed,
    /// The rules that both texts have are in a different order.
    Moved,
}

/// Difference of one rule.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct RuleChange {
    /// Id of the rule, `kind:NAME` or `customer:NAME`, or [`ORDER_ID`] or [`TAIL_ID`].
    pub id: String,
    /// How it differs.
    pub action: Action,
    /// Line in the older text, as written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// Line in the newer text, as written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// Outcome of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// Written as a new revision.
    Written,
    /// An earlier request with the same edit id has written it already.
    Already,
    /// The edit changes nothing.
    Unchanged,
    /// Dry run; nothing was written.
    DryRun,
}

/// Reply of `POST /rules`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ApplyReply {
    /// Outcome of the edit.
    pub applied: ApplyOutcome,
    /// Revision that contains the edit, or the current one for a dry run.
    pub revision: Revision,
    /// Rules that differ from the previous revision.
    pub changes: Vec<RuleChange>,
    /// Whether the edit was merged with edits by others since its base.
    pub merged: bool,
    /// Warnings on the text.
    pub warnings: Vec<Mistake>,
}

/// Severity of a mistake in the rules file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The rules file is refused.
    Error,
    /// The rules file is accepted.
    Warning,
}

/// A mistake in the rules file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Mistake {
    /// Whether the file is refused.
    pub severity: Severity,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// What is wrong.
    pub found: String,
    /// How to fix it.
    pub remedy: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let Self { line, column, .. } = self;
        write!(
            f,
            "{line}:{column}: {severity}: {}; {}",
            self.found, self.remedy
        )
    }
}

/// Query of `GET /explain`. Without a call, customer and kind are explained by the rules alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ExplainQuery {
    /// Customer, or `anonymous`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Kind of work. All kinds if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Call id from a response, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
}

/// Rule of a kind of work.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct KindInfo {
    /// Name of the kind.
    pub kind: String,
    /// Service of its calls.
    pub service: String,
    /// Rank, from 0, the most urgent, to 7.
    pub rank: Rank,
    /// Time for the whole chain of calls, in milliseconds.
    pub deadline_ms: u32,
    /// Percentage of each endpoint's slots reserved for the rank while it has work.
    pub floor_percent: u8,
    /// Attempts beyond the first over the whole chain, resends by the client included.
    pub extra_attempts: u8,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Line in the rules file.
    pub line: u32,
    /// Comment that names who asked for the rule.
    pub asked_by: String,
    /// Whether the service admits the rank now, by the last level received. Absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admitted: Option<bool>,
}

/// Rule of a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct CustomerInfo {
    /// Name of the customer.
    pub customer: String,
    /// Weight in the fair share.
    pub weight: u32,
    /// Line in the rules file, or zero for the default.
    pub line: u32,
    /// Comment that names who asked for the rule.
    pub asked_by: String,
}

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct CallInfo {
    /// Call id, in hexadecimal.
    pub call: String,
    /// Time of the decision.
    pub time_ms: u64,
    /// Kind of work.
    pub kind: String,
    /// Customer.
    pub customer: String,
    /// Rank of the kind.
    pub rank: Rank,
    /// `served`, or the reason for the refusal.
    pub outcome: String,
    /// Whether the endpoint ran the call: `not-run`, `ran` or `unknown`.
    pub ran: String,
    /// Line of the rule that applied, or zero for the default.
    pub line: u32,
    /// Comment of that rule.
    pub asked_by: String,
    /// Figures behind the decision, as text for operators.
    pub detail: String,
}

/// Reply of `GET /explain`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ExplainReply {
    /// Revision of the rules in force.
    pub revision: Revision,
    /// The customer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerInfo>,
    /// The kinds in the order of the file.
    pub kinds: Vec<KindInfo>,
    /// The call, if this daemon still has its record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<CallInfo>,
}

impl ExplainReply {
    /// Explains customer and kinds by the rules. The daemon adds the call and what is admitted now.
    #[must_use]
    pub fn new(rules: &RuleSet, query: &ExplainQuery) -> Self {
        let wanted = |kind: &KindRule| query.kind.as_deref().is_none_or(|name| name == &*kind.name);
        let kinds = rules.kinds().filter(|(_, kind)| wanted(kind));
        Self {
            revision: rules.revision,
            customer: query
                .customer
                .as_deref()
                .map(|name| explain_customer(rules, name)),
            kinds: kinds
                .map(|(line, kind)| explain_kind(kind, line.line, &line.asked_by))
                .collect(),
            call: None,
        }
    }

    /// Adds the outcome of a call.
    #[must_use]
    pub fn with_call(mut self, call: Option<CallInfo>) -> Self {
        self.call = call;
        self
    }
}

fn explain_customer(rules: &RuleSet, name: &str) -> CustomerInfo {
    let found = rules.customers().find(|(_, rule)| &*rule.name == name);
    let (line, asked_by) = match found {
        Some((line, CustomerRule { .. })) => (line.line, &*line.asked_by),
        None => (0, "built-in default"),
    };
    CustomerInfo {
        customer: name.to_owned(),
        weight: rules.weight(name),
        line,
        asked_by: asked_by.to_owned(),
    }
}

fn explain_kind(kind: &KindRule, line: u32, asked_by: &str) -> KindInfo {
    KindInfo {
        kind: kind.name.to_string(),
        service: kind.service.to_string(),
        rank: kind.rank,
        deadline_ms: kind.deadline_ms,
        floor_percent: kind.floor_percent,
        extra_attempts: kind.extra_attempts,
        idempotent: kind.idempotent,
        line,
        asked_by: asked_by.to_owned(),
        admitted: None,
    }
}

/// Reply of `GET /report`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ReportReply {
    /// VM of the daemon. The report covers calls for which it is the entry.
    pub vm: String,
    /// Burn rates of the error budgets.
    #[schemars(with = "serde_json::Value")]
    pub burn: Report,
}

/// Load of an endpoint on this VM, and the level that its daemon admits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Service of the endpoint.
    pub service: String,
    /// Slots that the endpoint announced.
    pub slots: u32,
    /// Learned concurrency limit.
    pub limit: u32,
    /// Calls running at the endpoint.
    pub running: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Least urgent rank that is admitted.
    pub level_rank: Rank,
    /// Highest bucket of that rank that is admitted, 0 to 127.
    pub level_bucket: u8,
}

/// Reply of `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct StatusReply {
    /// VM of the daemon.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Version of the program.
    pub version: String,
    /// Start of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the daemon is ready.
    pub ready: bool,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// Revision of the rules in force.
    pub revision: Revision,
    /// Time since the platform last responded, in milliseconds. Absent if it never did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_age_ms: Option<u64>,
    /// Members that are alive, including the daemon that replies.
    pub alive: u32,
    /// Members that are suspect or unreachable.
    pub doubtful: u32,
    /// Home slots that this daemon owns.
    pub homes_owned: u32,
    /// Home slots for which this daemon is the successor.
    pub homes_succeeded: u32,
    /// Tickets that this daemon has a record of.
    pub tickets: u64,
    /// Endpoints on this VM.
    pub services: Vec<ServiceStatus>,
}

/// Reply of `GET /metrics`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct MetricsReply {
    /// Counters since the start of the process, by name.
    pub counters: BTreeMap<String, u64>,
}

/// Body of `POST /drain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct DrainRequest {
    /// Person who drains the VM.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
}

/// Reply of `POST /drain`. A further request reports the progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct DrainReply {
    /// VM that is draining.
    pub vm: String,
    /// Calls still running.
    pub running: u32,
    /// Home slots not yet handed over.
    pub homes: u32,
    /// Whether the drain is complete.
    pub done: bool,
}

/// Owner and successor of one home slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct HomeInfo {
    /// Number of the slot.
    pub slot: u32,
    /// Number of changes of the slot so far. `homes reassign` must state it.
    pub epoch: u64,
    /// VM that serves the slot.
    pub owner: String,
    /// VM that holds the replica, if any.
    pub successor: Option<String>,
    /// Whether neither the owner's process nor the successor's is among the live members that this
    /// daemon knows.
    pub lost: bool,
}

/// Reply of `GET /homes`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct HomesReply {
    /// Revision of the home map.
    pub revision: Revision,
    /// All slots.
    pub slots: Vec<HomeInfo>,
}

/// Body of `POST /homes`. Confirms that the processes of owner and successor have exited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ReassignRequest {
    /// Number of the slot.
    pub slot: u32,
    /// Epoch that `GET /homes` showed.
    pub epoch: u64,
}

/// Kind of problem that an error response reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The bearer key is missing or not accepted.
    Unauthorized,
    /// The request is malformed.
    BadRequest,
    /// The rules have mistakes.
    Mistakes,
    /// Another edit changed the same rule.
    Conflict,
    /// The revision is not in the history.
    UnknownRevision,
    /// The rules do not fit into the platform's value.
    TooLarge,
    /// The platform does not respond, and nothing was written.
    Platform,
    /// The platform did not confirm a write, and the value cannot be read back. The same request
    /// may be resent.
    Unconfirmed,
    /// The path does not exist.
    NotFound,
    /// An internal error of the daemon.
    Internal,
}

impl ProblemKind {
    /// Returns the HTTP status of a response with this problem.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::BadRequest => 400,
            Self::Mistakes => 422,
            Self::Conflict => 409,
            Self::UnknownRevision | Self::NotFound => 404,
            Self::TooLarge => 413,
            Self::Platform => 503,
            Self::Unconfirmed => 504,
            Self::Internal => 500,
        }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Problem {
    /// Kind of problem.
    pub kind: ProblemKind,
    /// What happened and how to fix it.
    pub message: String,
    /// Mistakes in the rules.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<Mistake>,
    /// Changes that the edit conflicts with.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

/// A rule that two edits changed in different ways.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Conflict {
    /// Id of the rule, or [`ORDER_ID`] or [`TAIL_ID`].
    pub id: String,
    /// The change by the other edit.
    pub change: ChangeInfo,
}

impl Problem {
    /// Creates a problem. The message names the remedy.
    #[must_use]
    pub fn new(kind: ProblemKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            mistakes: Vec::new(),
            conflicts: Vec::new(),
        }
    }

    /// Adds mistakes in the rules.
    #[must_use]
    pub fn with_mistakes(mut self, mistakes: Vec<Mistake>) -> Self {
        self.mistakes = mistakes;
        self
    }

    /// Adds changes that the edit conflicts with.
    #[must_use]
    pub fn with_conflicts(mut self, conflicts: Vec<Conflict>) -> Self {
        self.conflicts = conflicts;
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        for mistake in &self.mistakes {
            write!(f, "\n  {mistake}")?;
        }
        for Conflict { id, change } in &self.conflicts {
            write!(
                f,
                "\n  {id}: changed by {} in revision {} ({})",
                change.author, change.revision, change.reason
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Problem {}
