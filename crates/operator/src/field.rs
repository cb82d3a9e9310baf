//! Schema of the rules file: its fields with types, bounds, units and defaults.
//!
//! The parser validates against [`FIELDS`], and the table in `docs/rules.md` is generated from it.

use std::fmt::Write as _;

/// Longest name of a kind, service or customer.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest path prefix.
pub const MAX_PATH_BYTES: usize = 256;
/// HTTP methods that a rule may name.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Type of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleType {
    /// `{"kind": {...}}`
    Kind,
    /// `{"customer": {...}}`
    Customer,
}

impl RuleType {
    /// Returns the key of the rule's object in the file.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Customer => "customer",
        }
    }
}

/// Type and bounds of a field's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// Letters, digits, `-`, `_` and `.`.
    Name,
    /// One of [`METHODS`].
    Method,
    /// Printable ASCII that starts with `/`, without `?` and `#`.
    Path,
    /// An integer between two inclusive bounds.
    Integer(u64, u64),
    /// A number between two inclusive bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Boolean,
}

impl ValueType {
    /// Returns the bounds as text for messages and the table.
    #[must_use]
    pub fn bounds(self) -> String {
        match self {
            Self::Name => format!("1 to {MAX_NAME_BYTES} of a-z A-Z 0-9 - _ ."),
            Self::Method => METHODS.join(", "),
            Self::Path => format!("starts with /, up to {MAX_PATH_BYTES} characters, no ? or #"),
            Self::Integer(low, high) => format!("{low} to {high}"),
            Self::Number(low, high) => format!("{low} to {high}"),
            Self::Boolean => "true, false".to_owned(),
        }
    }
}

/// Whether a field must be present, and its default value if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// A rule without the field is refused.
    Required,
    /// A missing field has this value.
    Default(&'static str),
}

/// A field of a rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Type of the rules that have the field.
    pub rule_type: RuleType,
    /// Name of the field in the file.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub value_type: ValueType,
    /// Unit of the value, or an empty text.
    pub unit: &'static str,
    /// Whether the field must be present.
    pub requirement: Requirement,
    /// Meaning of the field, for the table.
    pub meaning: &'static str,
}

const fn kind_field(
    name: &'static str,
    value_type: ValueType,
    unit: &'static str,
    requirement: Requirement,
    meaning: &'static str,
) -> Field {
    Field {
        rule_type: RuleType::Kind,
        name,
        value_type,
        unit,
        requirement,
        meaning,
    }
}

const fn customer_field(name: &'static str, value_type: ValueType, meaning: &'static str) -> Field {
    Field {
        rule_type: RuleType::Customer,
        name,
        value_type,
        unit: "",
        requirement: Requirement::Required,
        meaning,
    }
}

/// All fields in the order of the canonical form.
///
/// A deadline is at most 15 minutes, because a ticket or an idempotency key is kept no longer.
pub const FIELDS: [Field; 12] = [
    kind_field(
        "name",
        ValueType::Name,
        "",
        Requirement::Required,
        "name of the kind, unique in the file",
    ),
    kind_field(
        "service",
        ValueType::Name,
        "",
        Requirement::Required,
        "service that the calls go to",
    ),
    kind_field(
        "method",
        ValueType::Method,
        "",
        Requirement::Default("any"),
        "HTTP method of the calls",
    ),
    kind_field(
        "path",
        ValueType::Path,
        "",
        Requirement::Default("any"),
        "prefix of the path of the calls",
    ),
    kind_field(
        "rank",
        ValueType::Integer(0, 7),
        "",
        Requirement::Required,
        "importance, 0 is the most urgent",
    ),
    kind_field(
        "deadline_ms",
        ValueType::Integer(1, 900_000),
        "milliseconds",
        Requirement::Required,
        "time for the whole chain of calls",
    ),
    kind_field(
        "floor_percent",
        ValueType::Integer(0, 100),
        "percent of slots",
        Requirement::Default("0"),
        "slots of each endpoint kept for the rank while it has work",
    ),
    kind_field(
        "extra_attempts",
        ValueType::Integer(0, 10),
        "attempts",
        Requirement::Default("0"),
        "attempts beyond the first over the whole chain, resends by the client included; \
         required unless the kind is idempotent",
    ),
    kind_field(
        "idempotent",
        ValueType::Boolean,
        "",
        Requirement::Default("false"),
        "whether a call may run more than once",
    ),
    kind_field(
        "target_percent",
        ValueType::Number(50.0, 99.999),
        "percent of calls",
        Requirement::Default("99"),
        "calls that must succeed within the deadline",
    ),
    customer_field(
        "name",
        ValueType::Name,
        "name of the customer, unique in the file",
    ),
    customer_field(
        "weight",
        ValueType::Integer(1, 1_000),
        "share among the customers of a rank; a customer that no rule names has 1",
    ),
];

/// Returns the fields of a type of rule.
pub fn fields(rule_type: RuleType) -> impl Iterator<Item = &'static Field> {
    FIELDS
        .iter()
        .filter(move |field| field.rule_type == rule_type)
}

/// Renders the fields as a Markdown table.
#[must_use]
pub fn table() -> String {
    let mut table = String::from(
        "| rule | field | bounds | unit | if left out | meaning |\n|---|---|---|---|---|---|\n",
    );
    for field in &FIELDS {
        let requirement = match field.requirement {
            Requirement::Required => "refused",
            Requirement::Default(value) => value,
        };
        let (rule_type, bounds) = (field.rule_type.as_str(), field.value_type.bounds());
        let Field {
            name,
            unit,
            meaning,
            ..
        } = field;
        // Writing to a string cannot fail.
        let _ = writeln!(
            table,
            "| {rule_type} | `{name}` | {bounds} | {unit} | {requirement} | {meaning} |"
        );
    }
    table
}
