//! Who may read and change declarations.

use names::Operator;
use operator::{Request, Response, Tokens};
use settings::Settings;

/// Name in the audit trail while anyone may change declarations.
const ANONYMOUS: &str = "anonymous";

/// Decides on operators' requests.
pub(crate) struct Access {
    tokens: Tokens,
    is_open: bool,
}

fn unauthorised() -> Response {
    let message = "the request needs an operator's token; help: give --token-file FILE";
    Response::error(401, "unauthorised", message)
}

impl Access {
    pub(crate) fn new(settings: &Settings) -> Self {
        let tokens = Tokens::new(&settings.operator_tokens);
        Self { tokens, is_open: settings.open_operators }
    }

    /// Whether the request may read; without any token in the settings everyone may.
    pub(crate) fn check_reader(&self, request: &Request) -> Result<(), Response> {
        if self.tokens.is_empty() {
            return Ok(());
        }
        self.operator(request).map(|_| ())
    }

    /// The operator that changes something.
    pub(crate) fn check_writer(&self, request: &Request) -> Result<Operator, Response> {
        if !self.tokens.is_empty() {
            return self.operator(request);
        }
        if self.is_open {
            return ANONYMOUS.parse().map_err(|_| unauthorised());
        }
        let message = "no operator has a token, so nothing can be changed; help: add \
                       operator_tokens to the settings, or open_operators: true on a closed network";
        Err(Response::error(403, "no_operator_tokens", message))
    }

    fn operator(&self, request: &Request) -> Result<Operator, Response> {
        let token = request.token.as_deref().ok_or_else(unauthorised)?;
        self.tokens.find(token).ok_or_else(unauthorised)
    }
}
