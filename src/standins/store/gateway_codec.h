/// \file
/// JSON forms of the gateway's requests and results.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "standins/store/key_value_state.h"

namespace cranberrywing::standins {

/// Errors: Malformed.
Result<Operation> ParseRange(const boost::json::object& aBody);
/// Errors: Malformed.
Result<Transaction> ParseTransaction(const boost::json::object& aBody);

boost::json::object EncodeEntry(const KeyValue& aEntry);
boost::json::object EncodeResult(const OperationResult& aResult);
/// A result as one element of a transaction's responses.
boost::json::object EncodeResponse(const OperationResult& aResult);

} // namespace cranberrywing::standins
