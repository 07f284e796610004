//! Assembly of one running instance from its slices.
