//! Edits of the rules: diff, three-way merge and change history.
//!
//! The platform stores the rules as one value: the text in force, the edit that wrote it, and the
//! last changes with a patch that undoes each. [`apply`] computes the new value for an edit. The
//! daemon writes it by compare-and-swap, and on a conflict calls [`apply`] again with the value
//! that it then reads. Each edit id is applied at most once, because the last ids are kept. An edit
//! whose base is no longer in the history is refused.

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

/// Largest value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Earlier changes kept in addition to the one in force.
pub const MAX_HISTORY_ENTRIES: usize = 20;
/// Earlier edit ids kept. They outlast the history, so that an edit that is resent after a lost
/// response is recognised even after many edits by others.
pub const MAX_EDIT_IDS: usize = 256;
/// Rule ids listed for one change. Further ones are only counted.
const MAX_LISTED_RULES: usize = 100;
/// Longest author or reason.
const MAX_NOTE_BYTES: usize = 200;
/// Longest edit id.
const MAX_EDIT_ID_BYTES: usize = 64;

/// Metadata of one change of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Id of the edit.
    pub edit: String,
    /// Digest of the edit's text and base, to detect an edit id that is reused for another edit.
    pub digest: String,
    /// Person who applied it.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Ids of the rules that differ, the first 100 of them.
    pub rules: Vec<RuleId>,
    /// Number of changed rules beyond those listed.
    pub more: u32,
}

/// An earlier change with the patch that restores its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change wrote, or zero for the state before the first change.
    pub revision: Revision,
    /// The change.
    pub change: Change,
    /// Patch from the text of the next revision to the text of this one.
    pub undo: Vec<PatchOp>,
}

/// One operation of a line patch. A patch builds the target text from the source text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum PatchOp {
    /// Copies lines of the source text: index of the first, from 0, and number of lines.
    Copy(u32, u32),
    /// Inserts a line that the source text does not have.
    Insert(String),
}

/// Id of an applied edit, kept for longer than its history entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AppliedEdit {
    /// Id of the edit.
    pub edit: String,
    /// Revision that it wrote.
    pub revision: Revision,
}

/// The rules as stored in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRules {
    /// Text of the rules file.
    pub text: String,
    /// The change that wrote this text.
    pub change: Change,
    /// Earlier changes, newest first.
    pub history: Vec<HistoryEntry>,
    /// Ids of the edits before the one in force, newest first.
    #[serde(default)]
    pub edits: Vec<AppliedEdit>,
}

/// Outcome of [`apply`]: the reply and the write that the edit needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Reply to the operator. With a write, its revision is the one before the write.
    pub reply: ApplyReply,
    /// Write to perform. `None` for a dry run, a resend or an edit that changes nothing.
    pub write: Option<Swap>,
}

/// A compare-and-swap of the stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Expected revision of the stored value, or zero if none may exist.
    pub expected: Revision,
    /// The new value.
    pub value: StoredRules,
    /// The new value as JSON, within [`MAX_VALUE_BYTES`].
    pub encoded: String,
}

impl StoredRules {
    /// Decodes the stored value.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a value written by this program.
    pub fn decode(bytes: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(bytes).map_err(|error| {
            let message = format!(
                "the rules in the platform cannot be read: {error}; \
                 restore the value or write it with this program"
            );
            Problem::new(ProblemKind::Internal, message)
        })
    }

    /// Encodes the value as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the text of a revision if the history holds it. `current` is the revision of this
    /// value.
    #[must_use]
    pub fn text_at(&self, current: Revision, revision: Revision) -> Option<String> {
        let mut text = self.text.clone();
        let mut at = current;
        for entry in &self.history {
            if at == revision {
                break;
            }
            text = apply_patch(&text, &entry.undo)?;
            at = entry.revision;
        }
        (at == revision).then_some(text)
    }

    /// Returns the change in force and those before it, newest first.
    #[must_use]
    pub fn changes(&self, current: Revision) -> Vec<ChangeInfo> {
        let earlier = self
            .history
            .iter()
            .map(|entry| change_info(entry.revision, &entry.change));
        std::iter::once(change_info(current, &self.change))
            .chain(earlier)
            .collect()
    }

    /// Finds the change that an edit id made, with its revision.
    fn find(&self, current: Revision, edit: &str) -> Option<(Revision, &Change)> {
        let earlier = self
            .history
            .iter()
            .map(|entry| (entry.revision, &entry.change));
        let mut all = std::iter::once((current, &self.change)).chain(earlier);
        all.find(|(_, change)| change.edit == edit)
    }

    /// Returns the newest change after `base` that touched a rule. If none lists the rule, returns
    /// the newest one with unlisted rules, and failing that the change in force.
    fn blame(&self, current: Revision, base: Revision, id: &str) -> ChangeInfo {
        let changes = self.changes(current);
        let since = || changes.iter().filter(|change| change.revision > base);
        let listed = since().find(|change| change.rules.iter().any(|rule| rule == id));
        let found = listed.or_else(|| since().find(|change| change.more > 0));
        found.unwrap_or(&changes[0]).clone()
    }
}

/// Returns the default edit id, a digest of text and base: the same text on the same base is the
/// same edit.
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

/// Compares two files by rule id. Lists changes in the order of the newer file, then removed rules.
#[must_use]
pub fn diff(before: &RulesFile, after: &RulesFile) -> Vec<RuleChange> {
    let (old, new) = (blocks_by_id(before), blocks_by_id(after));
    let mut changes = Vec::new();
    for block in &after.blocks {
        let earlier = old.get(&*block.id).copied();
        let action = match earlier {
            None => Action::Added,
            Some(earlier) if !same_block(earlier, block) => Action::Changed,
            Some(_) => continue,
        };
        changes.push(rule_change(block, action, earlier, Some(block)));
    }
    for block in before
        .blocks
        .iter()
        .filter(|block| !new.contains_key(&*block.id))
    {
        changes.push(rule_change(block, Action::Removed, Some(block), None));
    }
    let in_both = |id: &str| old.contains_key(id) && new.contains_key(id);
    if ids_where(before, in_both) != ids_where(after, in_both) {
        changes.push(change_without_lines(ORDER_ID, Action::Moved));
    }
    if before.tail != after.tail {
        changes.push(change_without_lines(TAIL_ID, Action::Changed));
    }
    changes
}

/// Merges an edit into the stored value and returns the reply with the write to perform.
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
    check_edit(edit)?;
    let digest = edit_id(&edit.text, edit.base);
    let initial = initial_value();
    let (revision, stored) = current.unwrap_or((0, &initial));
    if let Some((revision, change)) = stored.find(revision, &edit.edit) {
        return decide_resend(revision, change, &digest);
    }
    if let Some(applied_edit) = stored
        .edits
        .iter()
        .find(|applied_edit| applied_edit.edit == edit.edit)
    {
        return Ok(already_applied(applied_edit.revision));
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
                    "the rules have mistakes; fix them and apply again",
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
        Some(make_swap(revision, stored, text, change)?)
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

fn initial_value() -> StoredRules {
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

fn check_edit(edit: &Edit) -> Result<(), Problem> {
    let in_id = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid_note = |text: &str| {
        !text.trim().is_empty()
            && text.len() <= MAX_NOTE_BYTES
            && !text.chars().any(char::is_control)
    };
    let message = if !(1..=MAX_EDIT_ID_BYTES).contains(&edit.edit.len())
        || !edit.edit.bytes().all(in_id)
    {
        format!(
            "the edit id must have 1 to {MAX_EDIT_ID_BYTES} letters, digits, - _ or .; change it"
        )
    } else if !is_valid_note(&edit.author) || !is_valid_note(&edit.reason) {
        format!(
            "author and reason must be one line of 1 to {MAX_NOTE_BYTES} bytes; state who and why"
        )
    } else {
        return Ok(());
    };
    Err(Problem::new(ProblemKind::BadRequest, message))
}

fn decide_resend(revision: Revision, change: &Change, digest: &str) -> Result<Decision, Problem> {
    if change.digest != digest {
        let message = format!(
            "edit id {} belongs to another edit, revision {revision} by {}; choose another id",
            change.edit, change.author
        );
        return Err(Problem::new(ProblemKind::Conflict, message));
    }
    Ok(already_applied(revision))
}

const fn already_applied(revision: Revision) -> Decision {
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
        .take(MAX_LISTED_RULES)
        .map(|change| change.id.clone());
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    Change {
        edit: edit.edit.clone(),
        digest,
        author: edit.author.clone(),
        reason: edit.reason.clone(),
        time_ms: since.as_millis() as u64,
        rules: rules.collect(),
        more: changes.len().saturating_sub(MAX_LISTED_RULES) as u32,
    }
}

/// Builds the new value with the old one in its history. Drops the oldest history entries until the
/// value fits.
fn make_swap(
    expected: Revision,
    stored: &StoredRules,
    text: String,
    change: Change,
) -> Result<Swap, Problem> {
    let mut history = vec![HistoryEntry {
        revision: expected,
        change: stored.change.clone(),
        undo: make_patch(&text, &stored.text),
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
                "the rules need {} bytes in the platform and may have {MAX_VALUE_BYTES}; remove \
                 rules or shorten comments",
                encoded.len()
            );
            return Err(Problem::new(ProblemKind::TooLarge, message));
        }
    }
}

/// Merges two edits of the same base, rule by rule.
///
/// # Errors
///
/// Returns the ids of the rules that both changed in different ways.
pub fn merge(
    base: &RulesFile,
    mine: &RulesFile,
    theirs: &RulesFile,
) -> Result<RulesFile, Vec<RuleId>> {
    let (base_blocks, my_blocks, their_blocks) =
        (blocks_by_id(base), blocks_by_id(mine), blocks_by_id(theirs));
    let mut conflicts = Vec::new();
    let mut blocks: HashMap<&str, Option<&Block>> = HashMap::new();
    let all = base.blocks.iter().chain(&mine.blocks).chain(&theirs.blocks);
    for id in all.map(|block| &*block.id) {
        if blocks.contains_key(id) {
            continue;
        }
        let (base_block, my_block, their_block) =
            (base_blocks.get(id), my_blocks.get(id), their_blocks.get(id));
        let merged = three_way_merge(
            base_block.copied(),
            my_block.copied(),
            their_block.copied(),
            same_block,
        );
        if merged.is_err() {
            conflicts.push(id.to_owned());
        }
        blocks.insert(id, merged.ok().flatten());
    }
    let in_all = |id: &str| {
        base_blocks.contains_key(id) && my_blocks.contains_key(id) && their_blocks.contains_key(id)
    };
    let [base_order, my_order, their_order] =
        [base, mine, theirs].map(|file| ids_where(file, in_all));
    let orders = [&base_order, &my_order, &their_order].map(Some);
    if three_way_merge(orders[0], orders[1], orders[2], PartialEq::eq).is_err() {
        conflicts.push(ORDER_ID.to_owned());
    }
    let tails = [base, mine, theirs].map(|file| Some(&file.tail));
    let tail = three_way_merge(tails[0], tails[1], tails[2], PartialEq::eq);
    if tail.is_err() {
        conflicts.push(TAIL_ID.to_owned());
    }
    if !conflicts.is_empty() {
        conflicts.sort();
        return Err(conflicts);
    }
    // The side that moved rules determines the order. Rules that only the other side has are
    // inserted after the rule that precedes them there.
    let (reordered, other) = if base_order == my_order {
        (theirs, mine)
    } else {
        (mine, theirs)
    };
    let ids = merge_order(reordered, other, |id| {
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

/// Error of a three-way merge: both sides changed the value in different ways.
#[derive(Clone, Copy, Debug)]
struct BothChanged;

/// Returns the value of the side that changed it, or the common value if both sides agree.
fn three_way_merge<T: Copy>(
    base: Option<T>,
    mine: Option<T>,
    theirs: Option<T>,
    same: impl Fn(T, T) -> bool,
) -> Result<Option<T>, BothChanged> {
    let equal = |a: Option<T>, b: Option<T>| match (a, b) {
        (Some(a), Some(b)) => same(a, b),
        (None, None) => true,
        _ => false,
    };
    if equal(mine, theirs) || equal(base, theirs) {
        Ok(mine)
    } else if equal(base, mine) {
        Ok(theirs)
    } else {
        Err(BothChanged)
    }
}

/// Merges the ids of two files in the order of `reordered`.
fn merge_order<'a>(
    reordered: &'a RulesFile,
    other: &'a RulesFile,
    keep: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let ids_of = |file: &'a RulesFile| file.blocks.iter().map(|block| &*block.id);
    let mut ids: Vec<&str> = ids_of(reordered).filter(|id| keep(id)).collect();
    let present: HashSet<&str> = ids.iter().copied().collect();
    let mut above = None;
    for id in ids_of(other).filter(|id| keep(id)) {
        if !present.contains(id) {
            let index = above.and_then(|above| ids.iter().position(|id| *id == above));
            ids.insert(index.map_or(0, |index| index + 1), id);
        }
        above = Some(id);
    }
    ids
}

fn blocks_by_id(file: &RulesFile) -> HashMap<&str, &Block> {
    file.blocks
        .iter()
        .map(|block| (&*block.id, block))
        .collect()
}

fn ids_where(file: &RulesFile, keep: impl Fn(&str) -> bool) -> Vec<&str> {
    let ids = file.blocks.iter().map(|block| &*block.id);
    ids.filter(|id| keep(id)).collect()
}

fn same_block(a: &Block, b: &Block) -> bool {
    a.text == b.text && a.above == b.above
}

fn rule_change(
    block: &Block,
    action: Action,
    old: Option<&Block>,
    new: Option<&Block>,
) -> RuleChange {
    RuleChange {
        id: block.id.clone(),
        action,
        before: old.map(|block| block.text.clone()),
        after: new.map(|block| block.text.clone()),
    }
}

/// A change of the order or of the trailing comments, which has no rule line.
fn change_without_lines(id: &str, action: Action) -> RuleChange {
    RuleChange {
        id: id.to_owned(),
        action,
        before: None,
        after: None,
    }
}

fn change_info(revision: Revision, change: &Change) -> ChangeInfo {
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

/// Returns the patch from `from` to `to`.
fn make_patch(from: &str, to: &str) -> Vec<PatchOp> {
    let lines: Vec<&str> = from.split('\n').collect();
    let mut first_index: HashMap<&str, u32> = HashMap::new();
    for (index, line) in (0..).zip(&lines) {
        first_index.entry(line).or_insert(index);
    }
    let mut ops = Vec::new();
    for line in to.split('\n') {
        if let Some(PatchOp::Copy(start, count)) = ops.last_mut()
            && lines.get((*start + *count) as usize) == Some(&line)
        {
            *count += 1;
            continue;
        }
        ops.push(match first_index.get(line) {
            Some(index) => PatchOp::Copy(*index, 1),
            None => PatchOp::Insert(line.to_owned()),
        });
    }
    ops
}

/// Applies a patch to a text. Returns `None` if the patch does not fit the text.
fn apply_patch(from: &str, ops: &[PatchOp]) -> Option<String> {
    let lines: Vec<&str> = from.split('\n').collect();
    let mut result = Vec::new();
    for op in ops {
        match op {
            PatchOp::Copy(start, count) => {
                let start = *start as usize;
                result.extend_from_slice(lines.get(start..start.checked_add(*count as usize)?)?);
            }
            PatchOp::Insert(line) => result.push(line),
        }
    }
    Some(result.join("\n"))
}
