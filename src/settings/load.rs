//! Loading and validation of YAML documents. All mistakes of a document are reported at once.

use super::Settings;
use jsonschema::error::{ValidationError, ValidationErrorKind};
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::DeserializeOwned;
use serde_json::Value;
use spindle_types::Problems;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested in place
/// of an unknown one.
const SUGGESTION_MIN_SIMILARITY: f64 = 0.7;

/// Why a document could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The document contains mistakes.
    #[error("{0}")]
    Problems(Problems),
}

/// Loads and checks a daemon's settings.
///
/// # Errors
///
/// The file can't be read or contains mistakes.
pub fn load(path: &Path) -> Result<Settings, LoadError> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| LoadError::File { path: path.to_owned(), error })?;
    let settings: Settings = check_document(&text).map_err(LoadError::Problems)?;
    let problems = settings.check();
    problems.finish(|| settings).map_err(LoadError::Problems)
}

/// Validates a YAML document against the JSON schema of a type and deserialises it.
///
/// # Errors
///
/// All mistakes, each with its path in the document.
pub fn check_document<T: DeserializeOwned + JsonSchema>(text: &str) -> Result<T, Problems> {
    let mut problems = Problems::new();
    let document: Value = match serde_norway::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            problems.add("document", error, "YAML");
            return Err(problems);
        }
    };
    let schema = schema::<T>();
    match jsonschema::validator_for(&schema) {
        Ok(validator) => {
            for error in validator.iter_errors(&document) {
                add_problem(&error, &schema, &mut problems);
            }
        }
        Err(error) => problems.add("schema", error, "a valid schema"),
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    serde_json::from_value(document).map_err(|error| {
        problems.add("document", error, "a document as `bronzespindle schema` describes");
        problems
    })
}

/// The JSON schema of a document, generated from its type.
pub fn schema<T: JsonSchema>() -> Value {
    SchemaGenerator::default().into_root_schema_for::<T>().to_value()
}

/// The JSON schema of an IP address with a port.
pub(super) fn address_schema(_: &mut SchemaGenerator) -> Schema {
    json_schema!({
        "type": "string",
        "pattern": r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$",
        "x-allowed": "an IP address with a port, such as 10.0.0.1:8080 or [::1]:8080",
    })
}

/// The JSON schema of an IP address with a port, or null.
pub(super) fn optional_address_schema(generator: &mut SchemaGenerator) -> Schema {
    let address = address_schema(generator).to_value();
    json_schema!({ "anyOf": [address, { "type": "null" }] })
}

/// Adds the problems that one validation error stands for.
fn add_problem(error: &ValidationError<'_>, schema: &Value, problems: &mut Problems) {
    let path = dotted_path(error.instance_path().as_str());
    let parent = error.schema_path().as_str().rsplit_once('/').map_or("", |(parent, _)| parent);
    let node = schema.pointer(parent).unwrap_or(&Value::Null);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected }
        | ValidationErrorKind::UnevaluatedProperties { unexpected } => {
            for key in unexpected {
                add_unknown_key(&path, key, node, problems);
            }
        }
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            problems.add(join_path(&path, key), "missing", "this key is required");
        }
        _ => problems.add(
            path_or_document(&path),
            truncated(error.instance()),
            allowed_values(error, node),
        ),
    }
}

/// Adds a problem for a key that the schema does not define, with the most similar known key.
fn add_unknown_key(path: &str, key: &str, node: &Value, problems: &mut Problems) {
    let known: Vec<&str> = node
        .get("properties")
        .and_then(Value::as_object)
        .map(|properties| properties.keys().map(String::as_str).collect())
        .unwrap_or_default();
    let similarity = |name: &&str| strsim::jaro_winkler(name, key);
    let nearest = known.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    let found = match nearest.filter(|name| similarity(name) >= SUGGESTION_MIN_SIMILARITY) {
        Some(name) => format!("unknown key; did you mean {name:?}?"),
        None => "unknown key".to_owned(),
    };
    problems.add(join_path(path, key), found, known.join(", "));
}

/// Describes the values that the schema allows: the text of `x-allowed`, the names of the variants,
/// the type, or the validator's own message.
fn allowed_values(error: &ValidationError<'_>, node: &Value) -> String {
    if let Some(text) = node.get("x-allowed").and_then(Value::as_str) {
        return text.to_owned();
    }
    let variants = node.get("oneOf").and_then(Value::as_array).into_iter().flatten();
    let names: Vec<&str> = variants.filter_map(|variant| variant.get("const")?.as_str()).collect();
    if !names.is_empty() {
        return names.join(", ");
    }
    match (error.kind(), node.get("type").and_then(Value::as_str)) {
        (ValidationErrorKind::Type { .. }, Some(kind)) => kind.to_owned(),
        _ => error.to_string(),
    }
}

/// Converts a JSON pointer to a dotted path: `/a/0/b` becomes `a[0].b`.
fn dotted_path(pointer: &str) -> String {
    let parts = pointer.split('/').skip(1).map(|part| part.replace("~1", "/").replace("~0", "~"));
    parts.fold(String::new(), |path, part| match part.parse::<usize>() {
        Ok(index) => format!("{path}[{index}]"),
        Err(_) => join_path(&path, &part),
    })
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// The path, or `document` for the root of the document.
fn path_or_document(path: &str) -> &str {
    if path.is_empty() { "document" } else { path }
}

/// Formats a value as JSON, truncated to `MAX_CHARS` characters.
fn truncated(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_CHARS {
        return text;
    }
    text.chars().take(MAX_CHARS).chain("…".chars()).collect()
}
