//! HTTP for operators.
