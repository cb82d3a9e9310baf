//! Rules file.
//!
//! One rule a line: a JSON object with comments, and a comment at its end that names who asked for
//! the rule. Blank lines and lines with only a comment are kept and belong to the rule below them.
//! Reading never stops at the first mistake: it reports all of them with their place and remedy.

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

/// Largest rules file, in bytes. The platform's value of 1 MB holds it together with the history.
pub const MAX_FILE_BYTES: usize = 900_000;
/// Mistakes reported at once. Further ones are only counted.
const MAX_MISTAKES: usize = 1_000;
/// Percentage of an endpoint's slots that floors should leave to ranks without one.
const FREE_PERCENT: u32 = 10;
/// Names that do not say who asked.
const NOBODY: [&str; 8] = [
    "todo", "tbd", "fixme", "unknown", "nobody", "someone", "somebody", "n/a",
];
/// Names with a meaning of their own in reports and refusals.
const RESERVED_KINDS: [&str; 2] = ["default", "other"];
const RESERVED_CUSTOMERS: [&str; 2] = ["anonymous", "other"];

/// A rule with the text around it.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Id of the rule.
    pub id: RuleId,
    /// Blank lines and comments above it.
    pub above: Vec<String>,
    /// Line of the rule as written.
    pub text: String,
    /// The rule.
    pub line: RuleLine,
}

/// A rules file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RulesFile {
    /// Rules in the order of the file.
    pub blocks: Vec<Block>,
    /// Blank lines and comments below the last rule.
    pub tail: Vec<String>,
}

/// What reading a file gave.
#[derive(Clone, Debug, Default)]
pub struct ParseOutcome {
    /// The rules that could be read.
    pub file: RulesFile,
    /// Mistakes in the order of the lines.
    pub mistakes: Vec<Mistake>,
}

impl ParseOutcome {
    /// The file and its warnings, if no mistake is an error.
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

/// Id of a rule.
#[must_use]
pub fn rule_id(rule: &Rule) -> RuleId {
    match rule {
        Rule::Kind(kind) => format!("kind:{}", kind.name),
        Rule::Customer(customer) => format!("customer:{}", customer.name),
    }
}

/// The line of a rule in canonical form, without line end.
///
/// All fields are written in the order of the table, defaults included.
#[must_use]
pub fn canonical(line: &RuleLine) -> String {
    let mut json = Vec::new();
    let written = line
        .rule
        .serialize(&mut Serializer::with_formatter(&mut json, Spaced));
    debug_assert!(written.is_ok(), "rules serialize to memory");
    format!("{} // {}", String::from_utf8_lossy(&json), line.asked_by)
}

impl RulesFile {
    /// The rules as a set.
    #[must_use]
    pub fn rule_set(&self, revision: Revision) -> RuleSet {
        let lines = self.blocks.iter().map(|block| block.line.clone());
        RuleSet::new(revision).with_lines(lines.collect())
    }

    /// The text as written.
    #[must_use]
    pub fn text(&self) -> String {
        self.join(|block| block.text.clone())
    }

    /// The text with every rule in canonical form.
    #[must_use]
    pub fn canonical(&self) -> String {
        self.join(|block| canonical(&block.line))
    }

    fn join(&self, rule: impl Fn(&Block) -> String) -> String {
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

/// Reads a rules file. Takes any bytes.
#[must_use]
pub fn parse(bytes: &[u8]) -> ParseOutcome {
    let mut reader = Reader::default();
    if bytes.len() > MAX_FILE_BYTES {
        let found = format!("the file has {} bytes", bytes.len());
        reader.error(
            1,
            1,
            found,
            format!("keep it within {MAX_FILE_BYTES} bytes"),
        );
        return reader.finish();
    }
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let mut lines: Vec<&[u8]> = bytes.split(|byte| *byte == b'\n').collect();
    // The last line end does not start another line.
    if lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    let mut above = Vec::new();
    for (number, line) in (1..).zip(lines) {
        reader.line(number, line.strip_suffix(b"\r").unwrap_or(line), &mut above);
    }
    reader.file.tail = above;
    reader.check_reach();
    reader.check_floors();
    reader.finish()
}

#[derive(Default)]
struct Reader {
    file: RulesFile,
    mistakes: Vec<Mistake>,
    /// Line of each rule id.
    ids: HashMap<RuleId, u32>,
    /// Column of the name in each block.
    columns: Vec<u32>,
}

/// One line while it is read.
struct Cursor<'a> {
    number: u32,
    text: &'a str,
}

impl Cursor<'_> {
    /// Column of a byte, in characters from 1.
    fn column(&self, byte: usize) -> u32 {
        self.text
            .get(..byte)
            .map_or(1, |text| text.chars().count() as u32 + 1)
    }
}

impl Reader {
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
            // Errors stay in the list before warnings, so that a refused file shows why.
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
                "mend those listed first".to_owned(),
            );
        }
        ParseOutcome {
            file: self.file,
            mistakes: self.mistakes,
        }
    }

    fn line(&mut self, number: u32, bytes: &[u8], above: &mut Vec<String>) {
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
        let cursor = Cursor { number, text };
        let control = text
            .char_indices()
            .find(|(_, c)| c.is_control() && *c != '\t');
        if let Some((byte, c)) = control {
            let found = format!("a control character, U+{:04X}", u32::from(c));
            self.error(number, cursor.column(byte), found, "remove it".to_owned());
            return;
        }
        let parsed = parse_to_ast(text, &COLLECT, &STRICT);
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => {
                let column = cursor.column(error.range().start);
                let found = format!("not a rule: {}", lower(&error.kind().to_string()));
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
        let asked_by = self.asked_by(&cursor, value.end(), comments);
        let rule = self.rule(&cursor, &value);
        if let Some((rule, column)) = rule {
            // A rule without a name stays, so that it is checked against the others as well.
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

    /// Checks that the comment names a person.
    fn asked_by(
        &mut self,
        cursor: &Cursor<'_>,
        end: usize,
        comment: Option<(usize, String)>,
    ) -> Option<String> {
        const REMEDY: &str = "end the line with // asked by NAME";
        let Some((start, text)) = comment else {
            let column = cursor.column(end);
            let found = "no comment that names who asked".to_owned();
            self.error(cursor.number, column, found, REMEDY.to_owned());
            return None;
        };
        let column = cursor.column(start);
        let Some(name) = text
            .get(..9)
            .filter(|start| start.eq_ignore_ascii_case("asked by "))
        else {
            let found = format!("a comment without a name: {}", quote(&text));
            self.error(cursor.number, column, found, REMEDY.to_owned());
            return None;
        };
        let name = text[name.len()..]
            .split([',', ';', ':', '('])
            .next()
            .unwrap_or_default()
            .trim();
        let letters = name.chars().filter(|c| c.is_alphabetic()).count();
        if letters < 2 || NOBODY.contains(&name.to_lowercase().as_str()) {
            let found = format!("a comment without a person's name: {}", quote(&text));
            self.error(cursor.number, column, found, REMEDY.to_owned());
            return None;
        }
        Some(text)
    }

    /// Reads the object of a line. Returns the rule and the column of its name.
    fn rule(&mut self, cursor: &Cursor<'_>, value: &Value<'_>) -> Option<(Rule, u32)> {
        const REMEDY: &str = "write {\"kind\": {...}} or {\"customer\": {...}}";
        let object = value.as_object();
        let Some([property]) = object.map(|object| object.properties.as_slice()) else {
            let column = cursor.column(value.start());
            let found = match object {
                Some(object) => format!("an object with {} keys", object.properties.len()),
                None => format!("{} in place of an object", describe(value)),
            };
            self.error(cursor.number, column, found, REMEDY.to_owned());
            return None;
        };
        let rule_type = match property.name.as_str() {
            "kind" => RuleType::Kind,
            "customer" => RuleType::Customer,
            other => {
                let column = cursor.column(property.start());
                let found = format!("unknown rule {}", quote(other));
                self.error(cursor.number, column, found, REMEDY.to_owned());
                return None;
            }
        };
        let Some(object) = property.value.as_object() else {
            let column = cursor.column(property.value.start());
            let found = format!("{} in place of an object", describe(&property.value));
            self.error(cursor.number, column, found, REMEDY.to_owned());
            return None;
        };
        let sound = self.fields(cursor, rule_type, object);
        if rule_type == RuleType::Kind {
            self.check_bound(cursor, object);
        }
        let column = self.name(cursor, rule_type, object)?;
        let rule = sound.then(|| build(rule_type, object)).flatten()?;
        self.check_rule(cursor, &rule, column);
        Some((rule, column))
    }

    /// Checks that a kind that must not run twice states the bound of its attempts.
    fn check_bound(&mut self, cursor: &Cursor<'_>, object: &Object<'_>) {
        let idempotent = object
            .get_boolean("idempotent")
            .is_some_and(|flag| flag.value);
        if idempotent || object.get("extra_attempts").is_some() {
            return;
        }
        let column = cursor.column(object.start());
        let found = "a kind that is not idempotent, without a bound on its attempts".to_owned();
        let remedy = "add \"extra_attempts\", 0 to 10, or \"idempotent\": true".to_owned();
        self.error(cursor.number, column, found, remedy);
    }

    /// Checks each field by itself. Returns whether all are sound.
    fn fields(&mut self, cursor: &Cursor<'_>, rule_type: RuleType, object: &Object<'_>) -> bool {
        let before = self.mistakes.len();
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let column = cursor.column(property.start());
            let Some(field) = fields(rule_type).find(|field| field.name == name) else {
                let names: Vec<&str> = fields(rule_type).map(|field| field.name).collect();
                let found = format!("unknown field {}", quote(name));
                let remedy = format!("remove it or use one of {}", names.join(", "));
                self.error(cursor.number, column, found, remedy);
                continue;
            };
            let same = |other: &ObjectProp<'_>| other.name.as_str() == name;
            if object.properties[..index].iter().any(same) {
                let found = format!("field {} for the second time", quote(name));
                self.error(
                    cursor.number,
                    column,
                    found,
                    "keep one of the two".to_owned(),
                );
            }
            if !fits(field.value_type, &property.value) {
                let column = cursor.column(property.value.start());
                let found = format!("{name} is {}", describe(&property.value));
                self.error(cursor.number, column, found, remedy(field));
            }
        }
        for field in fields(rule_type).filter(|field| field.requirement == Requirement::Required) {
            if object.get(field.name).is_none() {
                let column = cursor.column(object.start());
                let found = format!("no field \"{}\"", field.name);
                self.error(
                    cursor.number,
                    column,
                    found,
                    format!("add it, {}", remedy(field)),
                );
            }
        }
        self.mistakes.len() == before
    }

    /// Checks that the name is free. Returns its column.
    fn name(
        &mut self,
        cursor: &Cursor<'_>,
        rule_type: RuleType,
        object: &Object<'_>,
    ) -> Option<u32> {
        let name = object.get_string("name")?;
        let column = cursor.column(name.start());
        let (what, reserved) = match rule_type {
            RuleType::Kind => ("kind", &RESERVED_KINDS),
            RuleType::Customer => ("customer", &RESERVED_CUSTOMERS),
        };
        if reserved.contains(&&*name.value) {
            let found = format!("{what} name {} is reserved", quote(&name.value));
            self.error(
                cursor.number,
                column,
                found,
                "choose another name".to_owned(),
            );
            return None;
        }
        let id = format!("{what}:{}", name.value);
        if let Some(line) = self.ids.get(&id) {
            let found = format!(
                "{what} {} is declared on line {line} already",
                quote(&name.value)
            );
            let remedy = "remove one of the two or rename it".to_owned();
            self.error(cursor.number, column, found, remedy);
            return None;
        }
        self.ids.insert(id, cursor.number);
        Some(column)
    }

    /// Warns of a rule that is allowed and probably not meant.
    fn check_rule(&mut self, cursor: &Cursor<'_>, rule: &Rule, column: u32) {
        let number = cursor.number;
        match rule {
            Rule::Kind(kind) => {
                let reads = matches!(kind.method.as_deref(), Some("GET" | "HEAD" | "OPTIONS"));
                if reads && !kind.idempotent {
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

    /// Finds kinds that never match, because an earlier one matches all their calls.
    fn check_reach(&mut self) {
        let mut seen: HashMap<(&str, Option<&str>), Prefixes<'_>> = HashMap::new();
        let mut hidden = Vec::new();
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
                    .and_then(|prefixes| prefixes.covering(path))
            });
            match earlier.min() {
                Some(earlier) => hidden.push((index, earlier)),
                None => seen
                    .entry((&*kind.service, method))
                    .or_default()
                    .add(path, index),
            }
        }
        for (index, earlier) in hidden {
            let (line, column) = (self.file.blocks[index].line.line, self.columns[index]);
            let above = &self.file.blocks[earlier];
            let found = format!(
                "{} never matches, because {} on line {} takes all its calls",
                self.file.blocks[index].id, above.id, above.line.line
            );
            let remedy = format!("move it above line {} or remove it", above.line.line);
            self.error(line, column, found, remedy);
        }
    }

    /// Finds services whose floors promise more slots than there are.
    fn check_floors(&mut self) {
        let mut sums: BTreeMap<&str, u32> = BTreeMap::new();
        let mut crossed = Vec::new();
        for (index, block) in self.file.blocks.iter().enumerate() {
            let Rule::Kind(kind) = &block.line.rule else {
                continue;
            };
            let sum = sums.entry(&kind.service).or_default();
            let before = *sum;
            *sum += u32::from(kind.floor_percent);
            let limits = [
                (100, Severity::Error),
                (100 - FREE_PERCENT, Severity::Warning),
            ];
            let limit = limits
                .into_iter()
                .find(|(limit, _)| before <= *limit && *sum > *limit);
            if let Some((_, severity)) = limit {
                crossed.push((index, kind.service.to_string(), *sum, severity));
            }
        }
        for (index, service, sum, severity) in crossed {
            let (line, column) = (self.file.blocks[index].line.line, self.columns[index]);
            let found = format!(
                "floors of service {} add up to {sum} percent",
                quote(&service)
            );
            let most = if severity == Severity::Error {
                100
            } else {
                100 - FREE_PERCENT
            };
            let remedy = format!("lower floor_percent of its kinds to {most} in all");
            self.mistake(severity, line, column, found, remedy);
        }
    }
}

/// Path prefixes by length, so that a path is looked up once per length in use.
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

    /// The first block whose prefix covers `path`.
    fn covering(&self, path: &str) -> Option<usize> {
        let fitting = self.lengths.range(..=path.len());
        let found = fitting.filter_map(|(length, paths)| {
            path.get(..*length)
                .and_then(|prefix| paths.get(prefix))
                .copied()
        });
        found.min()
    }
}

const COLLECT: CollectOptions = CollectOptions {
    comments: CommentCollectionStrategy::Separate,
    tokens: false,
};

const STRICT: ParseOptions = ParseOptions {
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

fn fits(value_type: ValueType, value: &Value<'_>) -> bool {
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

fn remedy(field: &Field) -> String {
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

/// Quotes a text, shortened to fit into a message.
fn quote(text: &str) -> String {
    const LONGEST: usize = 60;
    let mut quoted = String::from("\"");
    for c in text.chars().take(LONGEST) {
        if matches!(c, '"' | '\'') {
            quoted.push(c);
        } else {
            quoted.extend(c.escape_debug());
        }
    }
    if text.chars().nth(LONGEST).is_some() {
        quoted.push_str("...");
    }
    quoted.push('"');
    quoted
}

fn lower(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |first| {
        first.to_lowercase().chain(chars).collect()
    })
}

/// Writes JSON on one line with a space after each comma and colon.
struct Spaced;

impl Formatter for Spaced {
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
