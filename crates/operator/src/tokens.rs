//! Tokens by which operators and upstreams prove who they are.

use std::collections::BTreeMap;

use names::Operator;

/// A token, kept as its hash so that comparing takes the same time for every guess.
#[derive(Clone)]
struct Secret(blake3::Hash);

impl Secret {
    fn new(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }
}

/// Whether a presented token is the expected one, compared in constant time.
pub fn is_token(presented: &str, expected: &str) -> bool {
    Secret::new(presented).0 == Secret::new(expected).0
}

/// The operators' tokens.
#[derive(Clone)]
pub struct Tokens {
    secrets: Vec<(Operator, Secret)>,
}

impl Tokens {
    /// The tokens of the settings.
    pub fn new(tokens: &BTreeMap<Operator, String>) -> Self {
        let secrets = tokens.iter().map(|(name, token)| (name.clone(), Secret::new(token)));
        Self { secrets: secrets.collect() }
    }

    /// Whether no operator has a token.
    pub fn is_empty(&self) -> bool {
        self.secrets.is_empty()
    }

    /// The operator that `token` belongs to. Every token is compared, whichever matches.
    pub fn find(&self, token: &str) -> Option<Operator> {
        let presented = Secret::new(token);
        let mut found = None;
        for (name, secret) in &self.secrets {
            if secret.0 == presented.0 {
                found = Some(name.clone());
            }
        }
        found
    }
}
