//! Bearer tokens that authenticate operators and upstreams.

use std::collections::BTreeMap;

use names::Operator;

/// Hash of a token. Hashes are compared in constant time, so that the time of a comparison reveals
/// nothing about the expected token.
#[derive(Clone)]
struct TokenHash(blake3::Hash);

impl TokenHash {
    fn new(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }
}

/// Returns whether the presented token equals the expected token. The comparison takes constant
/// time.
pub fn is_same_token(presented: &str, expected: &str) -> bool {
    TokenHash::new(presented).0 == TokenHash::new(expected).0
}

/// Tokens of the operators, as hashes.
#[derive(Clone)]
pub struct Tokens {
    hashes: Vec<(Operator, TokenHash)>,
}

impl Tokens {
    /// Creates the tokens from the setting `operator_tokens`.
    pub fn new(tokens: &BTreeMap<Operator, String>) -> Self {
        let hashes =
            tokens.iter().map(|(operator, token)| (operator.clone(), TokenHash::new(token)));
        Self { hashes: hashes.collect() }
    }

    /// Returns whether no operator has a token.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Authenticates an operator: returns the one whose token is `token`. The token is compared
    /// with the tokens of all operators, also after a match, so that the time does not reveal which
    /// operator matched.
    pub fn authenticate(&self, token: &str) -> Option<Operator> {
        let presented = TokenHash::new(token);
        let mut matching = None;
        for (operator, hash) in &self.hashes {
            if hash.0 == presented.0 {
                matching = Some(operator.clone());
            }
        }
        matching
    }
}
