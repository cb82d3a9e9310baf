//! Parser of the rules file.
//!
//! The file has one rule a line, as a JSON object in JSONC syntax. A comment at the end of the line
//! names the person who asked for the rule. Blank lines and lines with only a comment are kept and
//! belong to the rule below them. The parser doesn't stop at the first mistake: it reports all of
//! them with line, column and remedy.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use policy::id::Revision;
use policy::rule::{CustomerRule, KindRule, Rule, RuleLine, RuleSet};
use serde::Serialize;
use serde_json::ser::{Formatter, Serializer};
use std::collections::{BTreeMap, HashMap};

use crate::field::{
    Field, MAX_NAME_BYTES, MAX_PATH_BYTES, METHODS, Requirement, RuleType, ValueType, fields,
};
use crate::message::{Mistake, Severity};

#[cfg(test)]
mod tests;

/// Id of a rule that stays the same when its line moves: `kind:NAME` or `customer:NAME`.
pub type RuleId = String;

/// Largest rules file. One value of the platform, at most 1 MB, holds it together with the history.
pub const MAX_FILE_BYTES: usize = 900_000;
/// Mistakes listed in one report. Further ones are only counted.
const MAX_MISTAKES: usize = 1_000;
/// Percentage of an endpoint's slots that the floors should leave to ranks without a floor. Less
/// gives a warning.
const MIN_UNRESERVED_PERCENT: u32 = 10;
/// Names after "asked by" that do not name a person.
const PLACEHOLDER_NAMES: [&str; 8] = [
    "todo", "tbd", "fixme", "unknown", "nobody", "someone", "somebody", "n/a",
];
/// Kind names with a special meaning in reports and refusals.
const RESERVED_KINDS: [&str; 2] = ["default", "other"];
/// Customer names with a special meaning in reports and refusals.
const RESERVED_CUSTOMERS: [&str; 2] = ["anonymous", "other"];

/// A rule with its source text and the comments above it.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Id of the rule.
    pub id: RuleId,
    /// Blank lines and comment lines above the rule.
    pub above: Vec<String>,
    /// Line of the rule as written, with its comment.
    pub text: String,
    /// The parsed rule with its line number.
    pub line: RuleLine,
}

/// A parsed rules file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RulesFile {
    /// Rules in the order of the file.
    pub blocks: Vec<Block>,
    /// Blank lines and comment lines below the last rule.
    pub tail: Vec<String>,
}

/// Result of [`parse`], also for a file with mistakes.
#[derive(Clone, Debug, Default)]
pub struct ParseOutcome {
    /// The rules that could be parsed.
    pub file: RulesFile,
    /// Mistakes in the order of the lines, or errors first if there are too many to list.
    pub mistakes: Vec<Mistake>,
}

impl ParseOutcome {
    /// Returns the file and its warnings, if no mistake is an error.
    ///
    /// # Errors
    ///
    /// Returns all mistakes, warnings included, if one is an error.
    pub fn into_result(self) -> Result<(RulesFile, Vec<Mistake>), Vec<Mistake>> {
        if self
            .mistakes
            .iter()
            .any(|mistake| mistake.severity == Severity::Error)
        {
            Err(self.mistakes)
        } else {
            Ok((self.file, self.mistakes))
        }
    }
}

/// Returns the id of a rule.
#[must_use]
pub fn rule_id(rule: &Rule) -> RuleId {
    match rule {
        Rule::Kind(kind) => format!("kind:{}", kind.name),
        Rule::Customer(customer) => format!("customer:{}", customer.name),
    }
}

/// Returns the line of a rule in canonical form, without line end.
///
/// All fields are written in the order of [`crate::field::FIELDS`], defaults included.
#[must_use]
pub fn canonical(line: &RuleLine) -> String {
    let mut json = Vec::new();
    let written = line
        .rule
        .serialize(&mut Serializer::with_formatter(&mut json, SpacedFormatter));
    debug_assert!(written.is_ok(), "rules serialize to memory");
    format!("{} // {}", String::from_utf8_lossy(&json), line.asked_by)
}

impl RulesFile {
    /// Returns the rules as a set with this revision.
    #[must_use]
    pub fn rule_set(&self, revision: Revision) -> RuleSet {
        let lines = self.blocks.iter().map(|block| block.line.clone());
        RuleSet::new(revision).with_lines(lines.collect())
    }

    /// Returns the text as written.
    #[must_use]
    pub fn text(&self) -> String {
        self.format_with(|block| block.text.clone())
    }

    /// Returns the text with every rule in canonical form.
    #[must_use]
    pub fn canonical(&self) -> String {
        self.format_with(|block| canonical(&block.line))
    }

    fn format_with(&self, rule: impl Fn(&Block) -> String) -> String {
        let mut text = String::new();
        for block in &self.blocks {
            for line in &block.above {
                text.push_str(line);
                text.push('\n');
            }
            text.push_str(&rule(block));
            text.push('\n');
        }
        for line in &self.tail {
            text.push_str(line);
            text.push('\n');
        }
        text
    }
}

/// Parses a rules file. Accepts any bytes.
#[must_use]
pub fn parse(bytes: &[u8]) -> ParseOutcome {
    let mut parser = Parser::default();
    if bytes.len() > MAX_FILE_BYTES {
        let found = format!("the file has {} bytes", bytes.len());
        parser.error(
            1,
            1,
            found,
            format!("keep it within {MAX_FILE_BYTES} bytes"),
        );
        return parser.finish();
    }
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let mut lines: Vec<&[u8]> = bytes.split(|byte| *byte == b'\n').collect();
    // A line end at the end of the file does not start another line.
    if lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    let mut above = Vec::new();
    for (number, line) in (1..).zip(lines) {
        parser.parse_line(number, line.strip_suffix(b"\r").unwrap_or(line), &mut above);
    }
    parser.file.tail = above;
    parser.check_unreachable_kinds();
    parser.check_floors();
    parser.finish()
}

#[derive(Default)]
struct Parser {
    file: RulesFile,
    mistakes: Vec<Mistake>,
    /// Line number of each rule id.
    ids: HashMap<RuleId, u32>,
    /// Column of the name in each block.
    columns: Vec<u32>,
}

/// A line of the file, to locate mistakes in it.
struct SourceLine<'a> {
    number: u32,
    text: &'a str,
}

impl SourceLine<'_> {
    /// Returns the column of a byte offset, in characters from 1.
    fn column(&self, byte: usize) -> u32 {
        self.text
            .get(..byte)
            .map_or(1, |text| text.chars().count() as u32 + 1)
    }
}

impl Parser {
    fn error(&mut self, line: u32, column: u32, found: String, remedy: String) {
        self.mistake(Severity::Error, line, column, found, remedy);
    }

    fn warning(&mut self, line: u32, column: u32, found: String, remedy: String) {
        self.mistake(Severity::Warning, line, column, found, remedy);
    }

    fn mistake(
        &mut self,
        severity: Severity,
        line: u32,
        column: u32,
        found: String,
        remedy: String,
    ) {
        self.mistakes.push(Mistake {
            severity,
            line,
            column,
            found,
            remedy,
        });
    }

    fn finish(mut self) -> ParseOutcome {
        self.mistakes
            .sort_by_key(|mistake| (mistake.line, mistake.column));
        if let Some(rest) = self.mistakes.len().checked_sub(MAX_MISTAKES + 1) {
            // Errors are listed before warnings, so that the reason for a refusal is not cut off.
            self.mistakes
                .sort_by_key(|mistake| mistake.severity == Severity::Warning);
            let line = self.mistakes[MAX_MISTAKES].line;
            let severity = self.mistakes[MAX_MISTAKES].severity;
            self.mistakes.truncate(MAX_MISTAKES);
            let found = format!("{} further mistakes are not listed", rest + 1);
            self.mistake(
                severity,
                line,
                1,
                found,
                "fix those listed first".to_owned(),
            );
        }
        ParseOutcome {
            file: self.file,
            mistakes: self.mistakes,
        }
    }

    fn parse_line(&mut self, number: u32, bytes: &[u8], above: &mut Vec<String>) {
        let text = match str::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
                let column = valid.chars().count() as u32 + 1;
                let found = "a byte that is not UTF-8".to_owned();
                self.error(number, column, found, "save the file as UTF-8".to_owned());
                return;
            }
        };
        let source = SourceLine { number, text };
        let control = text
            .char_indices()
            .find(|(_, c)| c.is_control() && *c != '\t');
        if let Some((byte, c)) = control {
            let found = format!("a control character, U+{:04X}", u32::from(c));
            self.error(number, source.column(byte), found, "remove it".to_owned());
            return;
        }
        let parsed = parse_to_ast(text, &COLLECT_COMMENTS, &STRICT_JSON_WITH_COMMENTS);
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => {
                let column = source.column(error.range().start);
                let found = format!("not a rule: {}", lowercase_first(&error.kind().to_string()));
                let remedy = "write one JSON object a line, such as {\"customer\": {...}} \
                              // asked by NAME";
                self.error(number, column, found, remedy.to_owned());
                return;
            }
        };
        let Some(value) = parsed.value else {
            above.push(text.to_owned());
            return;
        };
        let comments = parsed.comments.unwrap_or_default();
        let comments = comments.get(&value.end()).map(|list| {
            let texts: Vec<&str> = list.iter().map(|comment| comment.text().trim()).collect();
            (
                list.first().map_or(value.end(), Ranged::start),
                texts.join(" "),
            )
        });
        let asked_by = self.check_asked_by(&source, value.end(), comments);
        let rule = self.parse_rule(&source, &value);
        if let Some((rule, column)) = rule {
            // A rule without a person's name is kept, so that the checks across rules include it.
            let asked_by = asked_by.unwrap_or_default();
            self.columns.push(column);
            self.file.blocks.push(Block {
                id: rule_id(&rule),
                above: std::mem::take(above),
                text: text.to_owned(),
                line: RuleLine {
                    line: number,
                    asked_by: asked_by.into(),
                    rule,
                },
            });
        }
    }

    /// Checks that the comment names a person. Returns the comment.
    fn check_asked_by(
        &mut self,
        source: &SourceLine<'_>,
        end: usize,
        comment: Option<(usize, String)>,
    ) -> Option<String> {
        const REMEDY: &str = "end the line with // asked by NAME";
        let Some((start, text)) = comment else {
            let column = source.column(end);
            let found = "no comment that names who asked".to_owned();
            self.error(source.number, column, found, REMEDY.to_owned());
            return None;
        };
        let column = source.column(start);
        let Some(name) = text
            .get(..9)
            .filter(|start| start.eq_ignore_ascii_case("asked by "))
        else {
            let found = format!("a comment without a name: {}", quote(&text));
            self.error(source.number, column, found, REMEDY.to_owned());
            return None;
        };
        let name = text[name.len()..]
            .split([',', ';', ':', '('])
            .next()
            .unwrap_or_default()
            .trim();
        let letters = name.chars().filter(|c| c.is_alphabetic()).count();
        if letters < 2 || PLACEHOLDER_NAMES.contains(&name.to_lowercase().as_str()) {
            let found = format!("a comment without a person's name: {}", quote(&text));
            self.error(source.number, column, found, REMEDY.to_owned());
            return None;
        }
        Some(text)
    }

    /// Parses the object of a line. Returns the rule and the column of its name.
    fn parse_rule(&mut self, source: &SourceLine<'_>, value: &Value<'_>) -> Option<(Rule, u32)> {
        const REMEDY: &str = "write {\"kind\": {...}} or {\"customer\": {...}}";
        let object = value.as_object();
        let Some([property]) = object.map(|object| object.properties.as_slice()) else {
            let column = source.column(value.start());
            let found = match object {
                Some(object) => format!("an object with {} keys", object.properties.len()),
                None => format!("{} in place of an object", describe(value)),
            };
            self.error(source.number, column, found, REMEDY.to_owned());
            return None;
        };
        let rule_type = match property.name.as_str() {
            "kind" => RuleType::Kind,
            "customer" => RuleType::Customer,
            other => {
                let column = source.column(property.start());
                let found = format!("unknown rule {}", quote(other));
                self.error(source.number, column, found, REMEDY.to_owned());
                return None;
            }
        };
        let Some(object) = property.value.as_object() else {
            let column = source.column(property.value.start());
            let found = format!("{} in place of an object", describe(&property.value));
            self.error(source.number, column, found, REMEDY.to_owned());
            return None;
        };
        let valid = self.check_fields(source, rule_type, object);
        if rule_type == RuleType::Kind {
            self.check_extra_attempts(source, object);
        }
        let column = self.check_name(source, rule_type, object)?;
        let rule = valid.then(|| build(rule_type, object)).flatten()?;
        self.warn_if_unlikely(source, &rule, column);
        Some((rule, column))
    }

    /// Checks that a kind that is not idempotent sets `extra_attempts`.
    fn check_extra_attempts(&mut self, source: &SourceLine<'_>, object: &Object<'_>) {
        let idempotent = object
            .get_boolean("idempotent")
            .is_some_and(|flag| flag.value);
        if idempotent || object.get("extra_attempts").is_some() {
            return;
        }
        let column = source.column(object.start());
        let found = "a kind that is not idempotent, without a bound on its attempts".to_owned();
        let remedy = "add \"extra_attempts\", 0 to 10, or \"idempotent\": true".to_owned();
        self.error(source.number, column, found, remedy);
    }

    /// Checks each field on its own. Returns whether all are valid.
    fn check_fields(
        &mut self,
        source: &SourceLine<'_>,
        rule_type: RuleType,
        object: &Object<'_>,
    ) -> bool {
        let before = self.mistakes.len();
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let column = source.column(property.start());
            let Some(field) = fields(rule_type).find(|field| field.name == name) else {
                let names: Vec<&str> = fields(rule_type).map(|field| field.name).collect();
                let found = format!("unknown field {}", quote(name));
                let remedy = format!("remove it or use one of {}", names.join(", "));
                self.error(source.number, column, found, remedy);
                continue;
            };
            let same = |other: &ObjectProp<'_>| other.name.as_str() == name;
            if object.properties[..index].iter().any(same) {
                let found = format!("field {} for the second time", quote(name));
                self.error(
                    source.number,
                    column,
                    found,
                    "keep one of the two".to_owned(),
                );
            }
            if !is_valid(field.value_type, &property.value) {
                let column = source.column(property.value.start());
                let found = format!("{name} is {}", describe(&property.value));
                self.error(source.number, column, found, remedy_for(field));
            }
        }
        for field in fields(rule_type).filter(|field| field.requirement == Requirement::Required) {
            if object.get(field.name).is_none() {
                let column = source.column(object.start());
                let found = format!("no field \"{}\"", field.name);
                self.error(
                    source.number,
                    column,
                    found,
                    format!("add it, {}", remedy_for(field)),
                );
            }
        }
        self.mistakes.len() == before
    }

    /// Checks that the name is neither reserved nor taken. Returns its column.
    fn check_name(
        &mut self,
        source: &SourceLine<'_>,
        rule_type: RuleType,
        object: &Object<'_>,
    ) -> Option<u32> {
        let name = object.get_string("name")?;
        let column = source.column(name.start());
        let (prefix, reserved) = match rule_type {
            RuleType::Kind => ("kind", &RESERVED_KINDS),
            RuleType::Customer => ("customer", &RESERVED_CUSTOMERS),
        };
        if reserved.contains(&&*name.value) {
            let found = format!("{prefix} name {} is reserved", quote(&name.value));
            self.error(
                source.number,
                column,
                found,
                "choose another name".to_owned(),
            );
            return None;
        }
        let id = format!("{prefix}:{}", name.value);
        if let Some(line) = self.ids.get(&id) {
            let found = format!(
                "{prefix} {} is declared on line {line} already",
                quote(&name.value)
            );
            let remedy = "remove one of the two or rename it".to_owned();
            self.error(source.number, column, found, remedy);
            return None;
        }
        self.ids.insert(id, source.number);
        Some(column)
    }

    /// Warns about a rule that is valid but probably a mistake.
    fn warn_if_unlikely(&mut self, source: &SourceLine<'_>, rule: &Rule, column: u32) {
        let number = source.number;
        match rule {
            Rule::Kind(kind) => {
                let is_read_only =
                    matches!(kind.method.as_deref(), Some("GET" | "HEAD" | "OPTIONS"));
                if is_read_only && !kind.idempotent {
                    let found = format!(
                        "kind {} only reads and is not idempotent",
                        quote(&kind.name)
                    );
                    let remedy = "add \"idempotent\": true if the call may run more than once";
                    self.warning(number, column, found, remedy.to_owned());
                }
            }
            Rule::Customer(customer) if customer.weight == 1 => {
                let found = format!(
                    "customer {} has the weight of an unnamed one",
                    quote(&customer.name)
                );
                let remedy = "raise the weight or remove the line".to_owned();
                self.warning(number, column, found, remedy);
            }
            Rule::Customer(_) => {}
        }
    }

    /// Reports kinds that never match, because an earlier one matches all their calls.
    fn check_unreachable_kinds(&mut self) {
        let mut seen: HashMap<(&str, Option<&str>), Prefixes<'_>> = HashMap::new();
        let mut unreachable = Vec::new();
        for (index, block) in self.file.blocks.iter().enumerate() {
            let Rule::Kind(kind) = &block.line.rule else {
                continue;
            };
            let (method, path) = (kind.method.as_deref(), kind.path.as_deref().unwrap_or(""));
            let methods = if method.is_some() {
                &[None, method][..]
            } else {
                &[None][..]
            };
            let earlier = methods.iter().filter_map(|method| {
                seen.get(&(&*kind.service, *method))
                    .and_then(|prefixes| prefixes.first_match(path))
            });
            match earlier.min() {
                Some(earlier) => unreachable.push((index, earlier)),
                None => seen
                    .entry((&*kind.service, method))
                    .or_default()
                    .add(path, index),
            }
        }
        for (index, earlier) in unreachable {
            let (line, column) = (self.file.blocks[index].line.line, self.columns[index]);
            let covering = &self.file.blocks[earlier];
            let found = format!(
                "{} never matches, because {} on line {} takes all its calls",
                self.file.blocks[index].id, covering.id, covering.line.line
            );
            let remedy = format!("move it above line {} or remove it", covering.line.line);
            self.error(line, column, found, remedy);
        }
    }

    /// Reports services whose floors reserve more than all slots, and warns about services whose
    /// floors leave less than [`MIN_UNRESERVED_PERCENT`].
    fn check_floors(&mut self) {
        let mut sums: BTreeMap<&str, u32> = BTreeMap::new();
        let mut exceeded = Vec::new();
        for (index, block) in self.file.blocks.iter().enumerate() {
            let Rule::Kind(kind) = &block.line.rule else {
                continue;
            };
            let sum = sums.entry(&kind.service).or_default();
            let before = *sum;
            *sum += u32::from(kind.floor_percent);
            let limits = [
                (100, Severity::Error),
                (100 - MIN_UNRESERVED_PERCENT, Severity::Warning),
            ];
            let limit = limits
                .into_iter()
                .find(|(limit, _)| before <= *limit && *sum > *limit);
            if let Some((_, severity)) = limit {
                exceeded.push((index, kind.service.to_string(), *sum, severity));
            }
        }
        for (index, service, sum, severity) in exceeded {
            let (line, column) = (self.file.blocks[index].line.line, self.columns[index]);
            let found = format!(
                "floors of service {} add up to {sum} percent",
                quote(&service)
            );
            let max_percent = if severity == Severity::Error {
                100
            } else {
                100 - MIN_UNRESERVED_PERCENT
            };
            let remedy = format!("lower floor_percent of its kinds to {max_percent} in all");
            self.mistake(severity, line, column, found, remedy);
        }
    }
}

/// Path prefixes grouped by length, so that a lookup needs one map access per length in use.
#[derive(Default)]
struct Prefixes<'a> {
    lengths: BTreeMap<usize, HashMap<&'a str, usize>>,
}

impl<'a> Prefixes<'a> {
    fn add(&mut self, path: &'a str, index: usize) {
        self.lengths
            .entry(path.len())
            .or_default()
            .insert(path, index);
    }

    /// Returns the first block whose prefix matches `path`.
    fn first_match(&self, path: &str) -> Option<usize> {
        let shorter = self.lengths.range(..=path.len());
        let found = shorter.filter_map(|(length, paths)| {
            path.get(..*length)
                .and_then(|prefix| paths.get(prefix))
                .copied()
        });
        found.min()
    }
}

const COLLECT_COMMENTS: CollectOptions = CollectOptions {
    comments: CommentCollectionStrategy::Separate,
    tokens: false,
};

const STRICT_JSON_WITH_COMMENTS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

fn is_valid(value_type: ValueType, value: &Value<'_>) -> bool {
    let text = value.as_string_lit().map(|text| &*text.value);
    let number = value.as_number_lit().map(|number| number.value);
    match value_type {
        ValueType::Name => text.is_some_and(|text| {
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
        }),
        ValueType::Method => text.is_some_and(|text| METHODS.contains(&text)),
        ValueType::Path => text.is_some_and(|text| {
            let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
            text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.bytes().all(allowed)
        }),
        ValueType::Integer(low, high) => {
            let number = number.and_then(|number| number.parse::<u64>().ok());
            number.is_some_and(|number| (low..=high).contains(&number))
        }
        ValueType::Number(low, high) => {
            let number = number.and_then(|number| number.parse::<f64>().ok());
            number.is_some_and(|number| (low..=high).contains(&number))
        }
        ValueType::Boolean => value.as_boolean_lit().is_some(),
    }
}

fn remedy_for(field: &Field) -> String {
    let bounds = field.value_type.bounds();
    match field.value_type {
        ValueType::Name => format!("write a name of {bounds}"),
        ValueType::Method => format!("write one of {bounds}"),
        ValueType::Path => format!("write a path that {bounds}"),
        ValueType::Integer(..) => format!("write a whole number from {bounds}"),
        ValueType::Number(..) => format!("write a number from {bounds}"),
        ValueType::Boolean => "write true or false".to_owned(),
    }
}

fn build(rule_type: RuleType, object: &Object<'_>) -> Option<Rule> {
    let text = |name| object.get_string(name).map(|text| text.value.to_string());
    let whole = |name| {
        object
            .get_number(name)
            .and_then(|number| number.value.parse::<u64>().ok())
    };
    let name = text("name")?.into();
    Some(match rule_type {
        RuleType::Kind => Rule::Kind(KindRule {
            name,
            service: text("service")?.into(),
            method: text("method"),
            path: text("path"),
            rank: whole("rank")? as u8,
            deadline_ms: whole("deadline_ms")? as u32,
            floor_percent: whole("floor_percent").unwrap_or(0) as u8,
            extra_attempts: whole("extra_attempts").unwrap_or(0) as u8,
            idempotent: object
                .get_boolean("idempotent")
                .is_some_and(|flag| flag.value),
            target_percent: object
                .get_number("target_percent")
                .and_then(|number| number.value.parse().ok())
                .unwrap_or(99.0),
        }),
        RuleType::Customer => Rule::Customer(CustomerRule {
            name,
            weight: whole("weight")? as u32,
        }),
    })
}

fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => quote(&text.value),
        Value::NumberLit(number) => quote(number.value).trim_matches('"').to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Quotes and escapes a text, shortened to fit into a message.
fn quote(text: &str) -> String {
    const MAX_QUOTED_CHARS: usize = 60;
    let mut quoted = String::from("\"");
    for c in text.chars().take(MAX_QUOTED_CHARS) {
        if matches!(c, '"' | '\'') {
            quoted.push(c);
        } else {
            quoted.extend(c.escape_debug());
        }
    }
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        quoted.push_str("...");
    }
    quoted.push('"');
    quoted
}

fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |first| {
        first.to_lowercase().chain(chars).collect()
    })
}

/// JSON formatter that writes one line with a space after each comma and colon.
struct SpacedFormatter;

impl Formatter for SpacedFormatter {
    fn begin_object_key<W: ?Sized + std::io::Write>(
        &mut self,
        writer: &mut W,
        first: bool,
    ) -> std::io::Result<()> {
        if first {
            Ok(())
        } else {
            writer.write_all(b", ")
        }
    }

    fn begin_object_value<W: ?Sized + std::io::Write>(
        &mut self,
        writer: &mut W,
    ) -> std::io::Result<()> {
        writer.write_all(b": ")
    }
}
