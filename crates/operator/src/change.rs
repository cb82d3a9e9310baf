//! Changes of the rules.
//!
//! The platform holds one value: the text in force, the edit that made it, and the last changes
//! with what it takes to undo each. [`apply`] decides what an edit does to that value; the daemon
//! writes the outcome by compare-and-swap and asks again with the value it then finds. An edit id
//! is applied at most once, because the last ids are kept, and an edit whose base has left the
//! history is refused.

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use policy::id::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::file::{self, Block, RuleId, RulesFile};
use crate::message::{
    Action, ApplyOutcome, ApplyReply, ChangeInfo, Conflict, Edit, ORDER_ID, Problem, ProblemKind,
    RuleChange, TAIL_ID,
};

#[cfg(test)]
mod tests;

/// Largest value of the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Earlier changes kept beside the one in force.
pub const MAX_HISTORY_ENTRIES: usize = 20;
/// Earlier edits whose ids are kept, so that one whose answer was lost is recognised after many
/// edits by others.
pub const MAX_EDIT_IDS: usize = 256;
/// Rule ids listed for one change.
const MAX_LISTED: usize = 100;
/// Longest author or reason, in bytes.
const MAX_NOTE: usize = 200;
/// Longest edit id, in bytes.
const MAX_EDIT_ID: usize = 64;

/// Who changed the rules, when and why.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Id of the edit.
    pub edit: String,
    /// Digest of the edit's text and base, so that one id is not used for two edits.
    pub digest: String,
    /// Who applied it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The first rules that it touched.
    pub rules: Vec<RuleId>,
    /// Number of further rules.
    pub more: u32,
}

/// An earlier change and what it takes to return to it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change made. Zero is the state before the first change.
    pub revision: Revision,
    /// The change.
    pub change: Change,
    /// Makes the text of this revision from the text of the next.
    pub undo: Vec<PatchOp>,
}

/// A piece of a text, as lines of another text or as a new line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum PatchOp {
    /// Number of the first line, from 0, and number of lines.
    Copy(u32, u32),
    /// A line that the other text does not have.
    Insert(String),
}

/// An edit that was applied, kept for longer than the history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AppliedEdit {
    /// Id of the edit.
    pub edit: String,
    /// Revision that it made.
    pub revision: Revision,
}

/// The value in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRules {
    /// Text of the rules file.
    pub text: String,
    /// The change that made it.
    pub change: Change,
    /// Earlier changes, newest first.
    pub history: Vec<HistoryEntry>,
    /// The edits before the one in force, newest first.
    #[serde(default)]
    pub edits: Vec<AppliedEdit>,
}

/// What an edit does.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The reply. Its revision is the one before the write if there is one.
    pub reply: ApplyReply,
    /// What to write.
    pub write: Option<Swap>,
}

/// A compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Revision that the value must still have. Zero if it must not exist.
    pub expected: Revision,
    /// The new value.
    pub value: StoredRules,
    /// The new value as JSON, within [`MAX_VALUE_BYTES`].
    pub encoded: String,
}

impl StoredRules {
    /// Reads the value.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no value of this program.
    pub fn decode(bytes: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(bytes).map_err(|error| {
            let message = format!(
                "the rules in the platform cannot be read: {error}; \
                 restore the value or write it with this program"
            );
            Problem::new(ProblemKind::Internal, message)
        })
    }

    /// Writes the value as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Text of a revision, if the history holds it. `current` is the revision of this value.
    #[must_use]
    pub fn text_at(&self, current: Revision, revision: Revision) -> Option<String> {
        let mut text = self.text.clone();
        let mut at = current;
        for past in &self.history {
            if at == revision {
                break;
            }
            text = patch(&text, &past.undo)?;
            at = past.revision;
        }
        (at == revision).then_some(text)
    }

    /// The change in force and those before it, newest first.
    #[must_use]
    pub fn changes(&self, current: Revision) -> Vec<ChangeInfo> {
        let past = self
            .history
            .iter()
            .map(|past| info(past.revision, &past.change));
        std::iter::once(info(current, &self.change))
            .chain(past)
            .collect()
    }

    /// Revision that an edit made.
    fn find(&self, current: Revision, edit: &str) -> Option<(Revision, &Change)> {
        let past = self
            .history
            .iter()
            .map(|past| (past.revision, &past.change));
        let mut all = std::iter::once((current, &self.change)).chain(past);
        all.find(|(_, change)| change.edit == edit)
    }

    /// The newest change after `base` that touched a rule.
    fn blame(&self, current: Revision, base: Revision, id: &str) -> ChangeInfo {
        let changes = self.changes(current);
        let since = || changes.iter().filter(|change| change.revision > base);
        let listed = since().find(|change| change.rules.iter().any(|rule| rule == id));
        let found = listed.or_else(|| since().find(|change| change.more > 0));
        found.unwrap_or(&changes[0]).clone()
    }
}

/// Id of an edit that states no other: the same text on the same base is the same edit.
#[must_use]
pub fn edit_id(text: &str, base: Revision) -> String {
    let mut hash = Sha256::new();
    hash.update(base.to_be_bytes());
    hash.update(text.as_bytes());
    let mut id = String::new();
    for byte in &hash.finalize()[..16] {
        // Writing to a string cannot fail.
        let _ = write!(id, "{byte:02x}");
    }
    id
}

/// How two files differ, by rule id, in the order of the newer file.
#[must_use]
pub fn diff(before: &RulesFile, after: &RulesFile) -> Vec<RuleChange> {
    let (old, new) = (index(before), index(after));
    let mut changes = Vec::new();
    for block in &after.blocks {
        let earlier = old.get(&*block.id).copied();
        let action = match earlier {
            None => Action::Added,
            Some(earlier) if !same(earlier, block) => Action::Changed,
            Some(_) => continue,
        };
        changes.push(change(block, action, earlier, Some(block)));
    }
    for block in before
        .blocks
        .iter()
        .filter(|block| !new.contains_key(&*block.id))
    {
        changes.push(change(block, Action::Removed, Some(block), None));
    }
    let common = |id: &str| old.contains_key(id) && new.contains_key(id);
    if order(before, common) != order(after, common) {
        changes.push(bare(ORDER_ID, Action::Moved));
    }
    if before.tail != after.tail {
        changes.push(bare(TAIL_ID, Action::Changed));
    }
    changes
}

/// Decides what an edit does to the value in the platform.
///
/// # Errors
///
/// Fails when the edit has mistakes, when another edit changed the same rules since its base, when
/// its base has left the history, or when the value would be too large.
pub fn apply(
    current: Option<(Revision, &StoredRules)>,
    edit: &Edit,
    now: SystemTime,
) -> Result<Decision, Problem> {
    check_request(edit)?;
    let digest = edit_id(&edit.text, edit.base);
    let before = before_first();
    let (revision, stored) = current.unwrap_or((0, &before));
    if let Some((revision, change)) = stored.find(revision, &edit.edit) {
        return already(revision, change, &digest);
    }
    if let Some(mark) = stored.edits.iter().find(|mark| mark.edit == edit.edit) {
        return Ok(applied_before(mark.revision));
    }
    let base = stored.text_at(revision, edit.base).ok_or_else(|| {
        let message = format!(
            "revision {} is not in the history; fetch the rules with `rules show`, repeat the \
             change there and apply it with the revision shown",
            edit.base
        );
        Problem::new(ProblemKind::UnknownRevision, message)
    })?;
    let (wanted, mut warnings) =
        file::parse(edit.text.as_bytes())
            .into_result()
            .map_err(|mistakes| {
                Problem::new(
                    ProblemKind::Mistakes,
                    "the rules have mistakes; mend them and apply again",
                )
                .with_mistakes(mistakes)
            })?;
    let merged = edit.base != revision && base != stored.text;
    let theirs = file::parse(stored.text.as_bytes()).file;
    let text = if merged {
        let base = file::parse(base.as_bytes()).file;
        let merged = merge(&base, &wanted, &theirs)
            .map_err(|ids| conflict(stored, revision, edit.base, &ids))?;
        let text = merged.text();
        warnings = check_merged(&text, revision)?;
        text
    } else {
        wanted.text()
    };
    let changes = diff(&theirs, &file::parse(text.as_bytes()).file);
    let applied = match (text == stored.text, edit.dry_run) {
        (true, _) => ApplyOutcome::Unchanged,
        (false, true) => ApplyOutcome::DryRun,
        (false, false) => ApplyOutcome::Written,
    };
    let write = if applied == ApplyOutcome::Unchanged {
        None
    } else {
        let change = make_change(edit, digest, &changes, now);
        Some(swap(revision, stored, text, change)?)
    };
    let reply = ApplyReply {
        applied,
        revision,
        changes,
        merged,
        warnings,
    };
    // A dry run also fails for a value that is too large.
    let write = write.filter(|_| applied == ApplyOutcome::Written);
    Ok(Decision { reply, write })
}

fn before_first() -> StoredRules {
    StoredRules {
        text: String::new(),
        change: Change {
            edit: "none".to_owned(),
            author: "built-in default".to_owned(),
            reason: "no rules yet".to_owned(),
            ..Change::default()
        },
        history: Vec::new(),
        edits: Vec::new(),
    }
}

fn check_request(edit: &Edit) -> Result<(), Problem> {
    let name = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let note = |text: &str| {
        !text.trim().is_empty() && text.len() <= MAX_NOTE && !text.chars().any(char::is_control)
    };
    let message = if !(1..=MAX_EDIT_ID).contains(&edit.edit.len()) || !edit.edit.bytes().all(name) {
        format!("the edit id must have 1 to {MAX_EDIT_ID} letters, digits, - _ or .; change it")
    } else if !note(&edit.author) || !note(&edit.reason) {
        format!("author and reason must be one line of 1 to {MAX_NOTE} bytes; state who and why")
    } else {
        return Ok(());
    };
    Err(Problem::new(ProblemKind::BadRequest, message))
}

fn already(revision: Revision, change: &Change, digest: &str) -> Result<Decision, Problem> {
    if change.digest != digest {
        let message = format!(
            "edit id {} belongs to another edit, revision {revision} by {}; choose another id",
            change.edit, change.author
        );
        return Err(Problem::new(ProblemKind::Conflict, message));
    }
    Ok(applied_before(revision))
}

const fn applied_before(revision: Revision) -> Decision {
    let reply = ApplyReply {
        applied: ApplyOutcome::Already,
        revision,
        changes: Vec::new(),
        merged: false,
        warnings: Vec::new(),
    };
    Decision { reply, write: None }
}

fn check_merged(text: &str, revision: Revision) -> Result<Vec<crate::message::Mistake>, Problem> {
    let read = file::parse(text.as_bytes()).into_result();
    read.map(|(_, warnings)| warnings).map_err(|mistakes| {
        let message = format!(
            "the edit has mistakes once it is merged with revision {revision}; fetch the rules \
             with `rules show` and repeat the change there"
        );
        Problem::new(ProblemKind::Mistakes, message).with_mistakes(mistakes)
    })
}

fn conflict(stored: &StoredRules, current: Revision, base: Revision, ids: &[RuleId]) -> Problem {
    let conflicts = ids.iter().map(|id| Conflict {
        id: id.clone(),
        change: stored.blame(current, base, id),
    });
    Problem::new(
        ProblemKind::Conflict,
        "another edit changed the same rules; fetch them with `rules show`, agree with its author \
         and repeat the change there",
    )
    .with_conflicts(conflicts.collect())
}

fn make_change(edit: &Edit, digest: String, changes: &[RuleChange], now: SystemTime) -> Change {
    let rules = changes
        .iter()
        .take(MAX_LISTED)
        .map(|change| change.id.clone());
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    Change {
        edit: edit.edit.clone(),
        digest,
        author: edit.author.clone(),
        reason: edit.reason.clone(),
        time_ms: since.as_millis() as u64,
        rules: rules.collect(),
        more: changes.len().saturating_sub(MAX_LISTED) as u32,
    }
}

/// The new value with the old one as history, which is cut until it fits.
fn swap(
    expected: Revision,
    stored: &StoredRules,
    text: String,
    change: Change,
) -> Result<Swap, Problem> {
    let mut history = vec![HistoryEntry {
        revision: expected,
        change: stored.change.clone(),
        undo: unpatch(&text, &stored.text),
    }];
    history.extend(stored.history.iter().take(MAX_HISTORY_ENTRIES - 1).cloned());
    let mut edits = vec![AppliedEdit {
        edit: stored.change.edit.clone(),
        revision: expected,
    }];
    edits.extend(stored.edits.iter().take(MAX_EDIT_IDS - 1).cloned());
    let mut value = StoredRules {
        text,
        change,
        history,
        edits,
    };
    loop {
        let encoded = value.encode();
        if encoded.len() <= MAX_VALUE_BYTES {
            return Ok(Swap {
                expected,
                value,
                encoded,
            });
        }
        if value.history.pop().is_none() {
            let message = format!(
                "the rules need {} bytes in the platform and may have {MAX_VALUE_BYTES}; remove rules or \
                 shorten comments",
                encoded.len()
            );
            return Err(Problem::new(ProblemKind::TooLarge, message));
        }
    }
}

/// Merges two edits of the same base.
///
/// # Errors
///
/// Returns the ids of the rules that both changed in different ways.
pub fn merge(
    base: &RulesFile,
    mine: &RulesFile,
    theirs: &RulesFile,
) -> Result<RulesFile, Vec<RuleId>> {
    let (old, own, other) = (index(base), index(mine), index(theirs));
    let mut conflicts = Vec::new();
    let mut blocks: HashMap<&str, Option<&Block>> = HashMap::new();
    let all = base.blocks.iter().chain(&mine.blocks).chain(&theirs.blocks);
    for id in all.map(|block| &*block.id) {
        if blocks.contains_key(id) {
            continue;
        }
        let (old, own, other) = (old.get(id), own.get(id), other.get(id));
        let merged = three_way(old.copied(), own.copied(), other.copied(), same);
        if merged.is_err() {
            conflicts.push(id.to_owned());
        }
        blocks.insert(id, merged.ok().flatten());
    }
    let common = |id: &str| old.contains_key(id) && own.contains_key(id) && other.contains_key(id);
    let [was, mine_order, their_order] = [base, mine, theirs].map(|file| order(file, common));
    let orders = [&was, &mine_order, &their_order].map(Some);
    if three_way(orders[0], orders[1], orders[2], PartialEq::eq).is_err() {
        conflicts.push(ORDER_ID.to_owned());
    }
    let tails = [base, mine, theirs].map(|file| Some(&file.tail));
    let tail = three_way(tails[0], tails[1], tails[2], PartialEq::eq);
    if tail.is_err() {
        conflicts.push(TAIL_ID.to_owned());
    }
    if !conflicts.is_empty() {
        conflicts.sort();
        return Err(conflicts);
    }
    // The side that moved rules gives the order; rules that only the other side has follow the rule
    // that they stand below there.
    let (frame, rest) = if was == mine_order {
        (theirs, mine)
    } else {
        (mine, theirs)
    };
    let ids = weave(frame, rest, |id| {
        blocks.get(id).is_some_and(Option::is_some)
    });
    Ok(RulesFile {
        blocks: ids
            .into_iter()
            .filter_map(|id| blocks[id].cloned())
            .collect(),
        tail: tail.ok().flatten().cloned().unwrap_or_default(),
    })
}

/// Both sides changed a value in different ways.
#[derive(Clone, Copy, Debug)]
struct Clash;

/// The value of the side that changed it.
fn three_way<T: Copy>(
    old: Option<T>,
    own: Option<T>,
    other: Option<T>,
    same: impl Fn(T, T) -> bool,
) -> Result<Option<T>, Clash> {
    let equal = |a: Option<T>, b: Option<T>| match (a, b) {
        (Some(a), Some(b)) => same(a, b),
        (None, None) => true,
        _ => false,
    };
    if equal(own, other) || equal(old, other) {
        Ok(own)
    } else if equal(old, own) {
        Ok(other)
    } else {
        Err(Clash)
    }
}

fn weave<'a>(
    frame: &'a RulesFile,
    rest: &'a RulesFile,
    keep: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let names = |file: &'a RulesFile| file.blocks.iter().map(|block| &*block.id);
    let mut ids: Vec<&str> = names(frame).filter(|id| keep(id)).collect();
    let present: HashSet<&str> = ids.iter().copied().collect();
    let mut above = None;
    for id in names(rest).filter(|id| keep(id)) {
        if !present.contains(id) {
            let place = above.and_then(|above| ids.iter().position(|id| *id == above));
            ids.insert(place.map_or(0, |place| place + 1), id);
        }
        above = Some(id);
    }
    ids
}

fn index(file: &RulesFile) -> HashMap<&str, &Block> {
    file.blocks
        .iter()
        .map(|block| (&*block.id, block))
        .collect()
}

fn order(file: &RulesFile, keep: impl Fn(&str) -> bool) -> Vec<&str> {
    let ids = file.blocks.iter().map(|block| &*block.id);
    ids.filter(|id| keep(id)).collect()
}

fn same(a: &Block, b: &Block) -> bool {
    a.text == b.text && a.above == b.above
}

fn change(id: &Block, action: Action, old: Option<&Block>, new: Option<&Block>) -> RuleChange {
    RuleChange {
        id: id.id.clone(),
        action,
        before: old.map(|block| block.text.clone()),
        after: new.map(|block| block.text.clone()),
    }
}

fn bare(id: &str, action: Action) -> RuleChange {
    RuleChange {
        id: id.to_owned(),
        action,
        before: None,
        after: None,
    }
}

fn info(revision: Revision, change: &Change) -> ChangeInfo {
    ChangeInfo {
        revision,
        edit: change.edit.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        time_ms: change.time_ms,
        rules: change.rules.clone(),
        more: change.more,
    }
}

/// What makes `to` from `from`.
fn unpatch(from: &str, to: &str) -> Vec<PatchOp> {
    let lines: Vec<&str> = from.split('\n').collect();
    let mut places: HashMap<&str, u32> = HashMap::new();
    for (place, line) in (0..).zip(&lines) {
        places.entry(line).or_insert(place);
    }
    let mut patches = Vec::new();
    for line in to.split('\n') {
        if let Some(PatchOp::Copy(start, count)) = patches.last_mut()
            && lines.get((*start + *count) as usize) == Some(&line)
        {
            *count += 1;
            continue;
        }
        patches.push(match places.get(line) {
            Some(place) => PatchOp::Copy(*place, 1),
            None => PatchOp::Insert(line.to_owned()),
        });
    }
    patches
}

/// Makes a text from another. Returns nothing if the patch belongs to another text.
fn patch(from: &str, patches: &[PatchOp]) -> Option<String> {
    let lines: Vec<&str> = from.split('\n').collect();
    let mut made = Vec::new();
    for patch in patches {
        match patch {
            PatchOp::Copy(start, count) => {
                let start = *start as usize;
                made.extend_from_slice(lines.get(start..start.checked_add(*count as usize)?)?);
            }
            PatchOp::Insert(line) => made.push(line),
        }
    }
    Some(made.join("\n"))
}
