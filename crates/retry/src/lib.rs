//! Retry allowance shared by every call of one request.
