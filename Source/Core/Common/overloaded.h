#ifndef SOURCE_CORE_COMMON_OVERLOADED_H_
#define SOURCE_CORE_COMMON_OVERLOADED_H_

namespace daisyroad {

// A visitor for std::visit made of lambdas, one for each alternative.
template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_OVERLOADED_H_
