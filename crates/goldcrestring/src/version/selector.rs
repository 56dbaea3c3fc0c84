//! Selectors, which match objects by their labels.

use crate::name::NameError;
use crate::version::label::{LabelKey, LabelValue, Labels};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// The error returned when a string is not a valid selector.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum SelectorError {
    /// A key or value of a label is not a valid name.
    #[display("{_0}")]
    Name(NameError),
    /// The values of a set requirement are not in parentheses.
    #[display("the values after 'in' and 'notin' must be in parentheses: {requirement:?}")]
    #[from(skip)]
    MissingParentheses {
        /// The invalid requirement.
        requirement: String,
    },
    /// A requirement has an unknown operator.
    #[display(
        "invalid requirement {requirement:?}; use k=v, k!=v, k in (a,b), k notin (a,b), k, !k"
    )]
    #[from(skip)]
    Malformed {
        /// The invalid requirement.
        requirement: String,
    },
}

/// The result of parsing a selector.
pub type Result<T> = std::result::Result<T, SelectorError>;

/// A condition on one label.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Requirement {
    /// The label has one of these values.
    In(LabelKey, BTreeSet<LabelValue>),
    /// The label is absent or has none of these values.
    NotIn(LabelKey, BTreeSet<LabelValue>),
    /// The label is present with any value.
    Exists(LabelKey),
    /// The label is absent.
    Absent(LabelKey),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::In(key, values) => labels.get(key).is_some_and(|value| values.contains(value)),
            Self::NotIn(key, values) => labels.get(key).is_none_or(|value| !values.contains(value)),
            Self::Exists(key) => labels.contains_key(key),
            Self::Absent(key) => !labels.contains_key(key),
        }
    }
}

/// Matches objects whose labels meet every requirement.
///
/// A selector without requirements matches all objects.
///
/// # Examples
///
/// ```
/// use goldcrestring::version::{Labels, Selector};
///
/// let labels = Labels::from([("pool".parse()?, "quotes".parse()?)]);
/// let selector: Selector = "pool in (quotes,previews), !retired".parse()?;
/// assert!(selector.matches(&labels));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Returns whether an object with these labels matches.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::{Labels, Selector};
    ///
    /// assert!(Selector::default().matches(&Labels::new()));
    /// ```
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|requirement| requirement.matches(labels))
    }
}

impl Selector {
    /// Returns a label that all matching objects have, with its possible values.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Selector;
    ///
    /// let selector: Selector = "!retired,pool=quotes".parse()?;
    /// assert_eq!(selector.required_label().map(|(key, _)| key.as_str()), Some("pool"));
    /// # Ok::<(), goldcrestring::version::SelectorError>(())
    /// ```
    pub fn required_label(&self) -> Option<(&LabelKey, &BTreeSet<LabelValue>)> {
        self.requirements.iter().find_map(|requirement| match requirement {
            Requirement::In(key, values) => Some((key, values)),
            Requirement::NotIn(..) | Requirement::Exists(_) | Requirement::Absent(_) => None,
        })
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self> {
        let requirements = split_outside_parentheses(text)
            .into_iter()
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(parse_requirement)
            .collect::<Result<Vec<_>>>()?;
        Ok(Self { requirements })
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, requirement) in self.requirements.iter().enumerate() {
            if position > 0 {
                formatter.write_str(",")?;
            }
            write!(formatter, "{requirement}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |values: &BTreeSet<LabelValue>| {
            values.iter().map(LabelValue::as_str).collect::<Vec<_>>().join(",")
        };
        match self {
            Self::In(key, values) if values.len() == 1 => {
                write!(formatter, "{key}={}", join(values))
            }
            Self::NotIn(key, values) if values.len() == 1 => {
                write!(formatter, "{key}!={}", join(values))
            }
            Self::In(key, values) => write!(formatter, "{key} in ({})", join(values)),
            Self::NotIn(key, values) => write!(formatter, "{key} notin ({})", join(values)),
            Self::Exists(key) => write!(formatter, "{key}"),
            Self::Absent(key) => write!(formatter, "!{key}"),
        }
    }
}

fn split_outside_parentheses(text: &str) -> Vec<&str> {
    let mut depth = 0_usize;
    text.split(move |character| {
        match character {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        character == ',' && depth == 0
    })
    .collect()
}

fn parse_requirement(text: &str) -> Result<Requirement> {
    if let Some((key, value)) = text.split_once("!=") {
        return Ok(Requirement::NotIn(key.trim().parse()?, single_value(value)?));
    }
    if let Some((key, value)) = text.split_once('=') {
        return Ok(Requirement::In(key.trim().parse()?, single_value(value)?));
    }
    if let Some(key) = text.strip_prefix('!') {
        return Ok(Requirement::Absent(key.trim().parse()?));
    }
    match text.split_once(char::is_whitespace) {
        None => Ok(Requirement::Exists(text.parse()?)),
        Some((key, rest)) => parse_set(key, rest.trim(), text),
    }
}

fn parse_set(key: &str, rest: &str, requirement: &str) -> Result<Requirement> {
    if let Some(list) = rest.strip_prefix("notin") {
        return Ok(Requirement::NotIn(key.parse()?, parse_values(list, requirement)?));
    }
    if let Some(list) = rest.strip_prefix("in") {
        return Ok(Requirement::In(key.parse()?, parse_values(list, requirement)?));
    }
    Err(SelectorError::Malformed { requirement: requirement.to_owned() })
}

fn parse_values(list: &str, requirement: &str) -> Result<BTreeSet<LabelValue>> {
    let inner =
        list.trim().strip_prefix('(').and_then(|list| list.strip_suffix(')')).ok_or_else(|| {
            SelectorError::MissingParentheses { requirement: requirement.to_owned() }
        })?;
    inner.split(',').map(|value| Ok(value.trim().parse()?)).collect()
}

fn single_value(value: &str) -> Result<BTreeSet<LabelValue>> {
    Ok(BTreeSet::from([value.trim().parse()?]))
}
