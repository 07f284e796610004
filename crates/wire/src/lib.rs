//! Frames between instances: codec, authentication, transport.
