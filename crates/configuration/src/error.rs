//! Errors in an operator's document.

use quick_error::quick_error;

quick_error! {
    /// An error in an operator's document. Its text is a single line and contains no value of the document
    /// that may be an API key.
    #[derive(Debug)]
    pub enum ConfigurationError {
        /// The document is empty or contains only white space.
        Empty { display("the document can't be read: it is empty") }
        /// The document is not a single JSON value.
        Syntax(error: serde_json::Error) {
            display("the document can't be read: {error}")
            source(error)
        }
        /// A part violates the schema or a rule. The location is a JSON pointer (RFC 6901), but `/` for the
        /// complete document. The schema validator's error is not kept as the source, as it contains values
        /// of the document.
        Invalid(location: String, problem: String) { display("{location}: {problem}") }
    }
}

impl ConfigurationError {
    /// An error in the part at this location.
    pub(crate) fn invalid(location: impl Into<String>, problem: impl Into<String>) -> Self {
        ConfigurationError::Invalid(location.into(), problem.into())
    }

    /// The JSON pointer to the invalid part; empty if the document is not valid JSON.
    pub fn location(&self) -> &str {
        match self {
            ConfigurationError::Empty | ConfigurationError::Syntax(_) => "",
            ConfigurationError::Invalid(location, _) => location,
        }
    }
}
