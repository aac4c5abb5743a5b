//! Validation of an operator's document: its JSON syntax, the schema, and the rules that relate its parts.

use crate::error::ConfigurationError;
use crate::model::Configuration;
use crate::rules;
use jsonschema::{ValidationError, Validator};
use serde_json::Value;
use std::sync::LazyLock;

/// The most errors that are reported for one document, so that the report doesn't become longer than the
/// document.
pub const MAX_ERRORS: usize = 50;

/// The JSON schema of the operator's documents, as text.
pub const SCHEMA: &str = include_str!("../schema/configuration.json");

#[expect(clippy::expect_used, reason = "the schema is part of the program; a test compiles it")]
static VALIDATOR: LazyLock<Validator> = LazyLock::new(|| {
    let schema = serde_json::from_str(SCHEMA).expect("the schema file in the source is JSON");
    jsonschema::validator_for(&schema).expect("the schema file in the source is a JSON schema")
});

/// Compiles the schema ahead of the first check, which then takes no longer than later ones.
pub fn compile_schema() {
    LazyLock::force(&VALIDATOR);
}

/// Parses and validates a document.
///
/// # Errors
///
/// At least one error and at most [`MAX_ERRORS`]. None contains a value of the document that may be an API
/// key.
pub fn check(bytes: &[u8]) -> Result<Configuration, Vec<ConfigurationError>> {
    let document: Value = serde_json::from_slice(bytes).map_err(|error| vec![syntax_error(bytes, error)])?;
    let errors: Vec<ConfigurationError> =
        VALIDATOR.iter_errors(&document).take(MAX_ERRORS).map(|error| schema_error(&error)).collect();
    if !errors.is_empty() {
        return Err(errors);
    }
    let parsed: Result<Configuration, _> = serde_json::from_value(document);
    parsed.map_err(|error| vec![ConfigurationError::invalid("/", error.to_string())])?;
    // Data planes and coordinators parse the bytes when they apply the document, and reject more than the
    // value shows: of a repeated member, it holds the last one only.
    let configuration: Configuration =
        serde_json::from_slice(bytes).map_err(|error| vec![unreadable_error(&error)])?;
    let mut errors = rules::violations(&configuration);
    if errors.is_empty() {
        return Ok(configuration);
    }
    errors.truncate(MAX_ERRORS);
    Err(errors)
}

fn syntax_error(bytes: &[u8], error: serde_json::Error) -> ConfigurationError {
    if bytes.iter().all(u8::is_ascii_whitespace) {
        return ConfigurationError::Empty;
    }
    ConfigurationError::Syntax(error)
}

/// The error of a document that can't be applied although its last members are valid. Other texts than that of
/// a repeated member may contain a value of the document.
fn unreadable_error(error: &serde_json::Error) -> ConfigurationError {
    let text = error.to_string();
    if text.starts_with("duplicate field") {
        return ConfigurationError::invalid("/", text);
    }
    let (line, column) = (error.line(), error.column());
    ConfigurationError::invalid("/", format!("can't be read at line {line} column {column}"))
}

fn schema_error(error: &ValidationError) -> ConfigurationError {
    let location = error.instance_path().as_str();
    let location = if location.is_empty() { "/" } else { location };
    ConfigurationError::invalid(location, error.masked_with("the value").to_string())
}
