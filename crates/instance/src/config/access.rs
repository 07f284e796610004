//! Authorization of operators that read or change declarations.

use names::Operator;
use operator::{Request, Response, Tokens};
use settings::Settings;

/// Operator name in the audit trail when changes need no token.
const ANONYMOUS: &str = "anonymous";

/// Authorizes operator requests by their tokens.
pub(crate) struct Access {
    tokens: Tokens,
    allows_anonymous: bool,
}

fn unauthorised() -> Response {
    let message = "the request needs an operator's token; help: give --token-file FILE";
    Response::error(401, "unauthorised", message)
}

impl Access {
    pub(crate) fn new(settings: &Settings) -> Self {
        let tokens = Tokens::new(&settings.operator_tokens);
        Self { tokens, allows_anonymous: settings.open_operators }
    }

    /// Checks that the request may read. Every request may if the settings contain no token.
    pub(crate) fn check_reader(&self, request: &Request) -> Result<(), Response> {
        if self.tokens.is_empty() {
            return Ok(());
        }
        self.authenticate(request).map(|_| ())
    }

    /// Checks that the request may change the declarations, and returns its operator.
    pub(crate) fn check_writer(&self, request: &Request) -> Result<Operator, Response> {
        if !self.tokens.is_empty() {
            return self.authenticate(request);
        }
        if self.allows_anonymous {
            return ANONYMOUS.parse().map_err(|_| unauthorised());
        }
        let message = "no operator has a token, so nothing can be changed; help: add \
                       operator_tokens to the settings, or open_operators: true on a closed network";
        Err(Response::error(403, "no_operator_tokens", message))
    }

    fn authenticate(&self, request: &Request) -> Result<Operator, Response> {
        let token = request.token.as_deref().ok_or_else(unauthorised)?;
        self.tokens.authenticate(token).ok_or_else(unauthorised)
    }
}
