//! Errors that prevent the audit of a backend.

use quick_error::quick_error;
use range_digest::WalkError;

quick_error! {
    /// The reason why a backend could not be audited. The texts are part of the status interface and must not
    /// change. Errors of the transport and of the parser are kept as text, because audit errors are cloned
    /// and compared.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AuditError {
        /// The request failed or timed out.
        RequestFailed(reason: String) { display("no answer: {reason}") }
        /// The response could not be parsed.
        Malformed(reason: String) { display("an answer that can't be read: {reason}") }
        /// The response is from another instance, which has the backend's address now.
        InstanceMismatch { display("another instance answers at its address") }
        /// The digest in the response does not match the content of the response.
        DigestMismatch { display("a digest that is not that of the items told with it") }
        /// The content of the response is not valid for the range that was requested.
        InvalidContent(error: WalkError) { display("{error}") from() source(error) }
        /// Locating all differences would take more requests than one round may send.
        TooManyDifferences { display("it differs in more places than a round walks to") }
        /// The index has more blocks of the backend than the audit holds.
        IndexTooLarge { display("the index of it is too large") }
    }
}
