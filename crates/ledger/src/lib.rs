//! Idempotency records of non-idempotent requests.
